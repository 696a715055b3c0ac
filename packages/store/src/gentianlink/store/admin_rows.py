"""Rows of the table service with the addresses of the nodes' admin ports.

Commands of operators read these rows to discover nodes. As in
:mod:`gentianlink.store.node_rows`, each data centre has a fixed number of rows, and a
node writes the row that the hash of its name selects.
"""

from gentianlink.store.names import ADMIN_PREFIX
from gentianlink.store.node_rows import get_row_key


async def write_admin_address(table, data_centre, node_id, address):
    """Write the address of a node's admin port into the node's row.

    Parameters
    ----------
    table : TableClient
        The table service.
    data_centre : str
        Data centre of the node.
    node_id : str
        Name of the node.
    address : str
        Admin port as ``address:port``.

    Raises
    ------
    PlatformError
        If the write failed or its outcome is unknown.
    """
    key = get_row_key(ADMIN_PREFIX, data_centre, node_id)
    await table.transact([(key, address)])


async def read_admin_rows(table, after="", limit=64):
    """Return rows with admin ports; some may be of nodes that no longer exist.

    Parameters
    ----------
    table : TableClient
        The table service.
    after : str, optional
        Key after which the scan begins.
    limit : int, optional
        Maximum number of rows.

    Returns
    -------
    list of Row
        Rows with ``address:port`` as value, sorted by key.

    Raises
    ------
    PlatformError
        If the rows could not be read.
    """
    return await table.scan(ADMIN_PREFIX, after, limit)
