"""Rows by which operators find the admin ports of nodes."""

from gentianlink.platform.names import ADMIN_PREFIX, get_admin_key


async def write_admin_address(table, data_centre, node_id, address):
    """Write the row of one node.

    Parameters
    ----------
    table : TableClient
        The table service.
    data_centre : str
        Data centre of the node.
    node_id : str
        Name of the node.
    address : str
        IP number and TCP port of its admin port.

    Raises
    ------
    PlatformError
        If no answer came.
    """
    await table.transact([(get_admin_key(data_centre, node_id), address)])


async def read_admin_rows(table, after="", limit=64):
    """Return rows of nodes; some may be of nodes that are gone.

    Parameters
    ----------
    table : TableClient
        The table service.
    after : str, optional
        Key after which to begin.
    limit : int, optional
        Largest number of rows.

    Returns
    -------
    list of Row
        Rows in the order of their keys.

    Raises
    ------
    PlatformError
        If no answer came.
    """
    return await table.scan(ADMIN_PREFIX, after, limit)
