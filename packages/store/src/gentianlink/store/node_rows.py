"""Rows of the table service with the addresses of nodes, for peer discovery.

A node without links or seeds reads these rows to discover others. Each data centre has
a fixed number of rows, and a node periodically writes the row that the hash of its
name selects. Rows of nodes that no longer exist are thus overwritten, and the table
does not grow with the names of replaced instances.
"""

import hashlib
import random

from gentianlink.store.names import NODE_PREFIX

ROWS_PER_DATA_CENTRE = 64
MAX_ROWS_READ = 64


def get_row_key(prefix, data_centre, node_id):
    """Return the key of the row that is assigned to a node.

    Parameters
    ----------
    prefix : str
        Prefix of the keys, which selects the kind of row.
    data_centre : str
        Data centre of the node.
    node_id : str
        Name of the node.

    Returns
    -------
    str
        One of the `ROWS_PER_DATA_CENTRE` keys of the data centre.
    """
    digest = hashlib.blake2b(node_id.encode(), digest_size=4).digest()
    row_number = int.from_bytes(digest, "big") % ROWS_PER_DATA_CENTRE
    return f"{prefix}{row_number:03d}/{data_centre}"


async def write_node_address(table, data_centre, node_id, address):
    """Write a node's address into the node's row.

    Parameters
    ----------
    table : TableClient
        The table service.
    data_centre : str
        Data centre of the node.
    node_id : str
        Name of the node.
    address : str
        Address for links from other nodes, as ``address:port``.

    Raises
    ------
    PlatformError
        If the write failed or its outcome is unknown.
    """
    await table.transact([(get_row_key(NODE_PREFIX, data_centre, node_id), address)])


async def read_node_addresses(table, rng=random):
    """Return addresses of nodes, from a random position in the table.

    Parameters
    ----------
    table : TableClient
        The table service.
    rng : random.Random, optional
        Source of randomness.

    Returns
    -------
    tuple of str
        At most `MAX_ROWS_READ` distinct addresses ``address:port`` from all data
        centres; some may be of nodes that no longer exist.

    Raises
    ------
    PlatformError
        If the rows could not be read.
    """
    start = f"{NODE_PREFIX}{rng.randrange(ROWS_PER_DATA_CENTRE):03d}"
    rows = await table.scan(NODE_PREFIX, after=start, limit=MAX_ROWS_READ)
    if len(rows) < MAX_ROWS_READ:
        rows += await table.scan(NODE_PREFIX, limit=MAX_ROWS_READ - len(rows))
    return tuple(dict.fromkeys(row.value for row in rows if row.value))
