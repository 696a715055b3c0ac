"""Choice of the nodes with which a node exchanges state.

Each node keeps a few links, whatever the size of the deployment. The nodes of a data
centre form rings, each in another pseudo-random order, and a few of them are linked to
another data centre each. A change that every node passes on reaches all nodes after a
number of hops that grows with the logarithm of their number; traffic between data
centres, which is billed, does not grow with it.
"""

import collections
import hashlib

# Two rings stay connected when some nodes are lost, and mix like a random graph.
RINGS = 2
# Links between two data centres.
BRIDGES = 2
HASH_BYTES = 8


def choose_links(own, records):
    """Return the nodes with which a node exchanges state.

    Nodes that know the same records choose links of which both ends know.

    Parameters
    ----------
    own : PeerRecord
        Record of the node.
    records : list of PeerRecord
        Records of the other nodes, without those that are lost.

    Returns
    -------
    dict of str to PeerRecord
        Records of the chosen nodes by name.
    """
    by_data_centre = collections.defaultdict(list)
    for record in (own, *records):
        by_data_centre[record.data_centre].append(record)
    near = by_data_centre.pop(own.data_centre)
    chosen = [item for ring in range(RINGS) for item in _find_beside(own, near, ring)]
    for name, far in by_data_centre.items():
        ends = _rank(near, f"to {name}")[:BRIDGES]
        if own in ends:
            others = _rank(far, f"to {own.data_centre}")
            chosen.append(others[ends.index(own) % len(others)])
    return {record.node_id: record for record in chosen if record is not own}


def _find_beside(own, records, salt):
    """Return the nodes before and after a node in a ring."""
    ring = _rank(records, salt)
    place = ring.index(own)
    return ring[place - 1], ring[(place + 1) % len(ring)]


def _rank(records, salt):
    """Return records in an order that differs from salt to salt without a pattern."""
    return sorted(records, key=lambda record: _hash(f"{salt} {record.node_id}"))


def _hash(text):
    return hashlib.blake2b(text.encode(), digest_size=HASH_BYTES).digest()
