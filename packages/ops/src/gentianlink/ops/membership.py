"""Order, hash and refute records of nodes and targets.

Records have a total order, so nodes that receive the same records in any order keep
the same ones.
"""

import hashlib

import attrs

from gentianlink.core.node_state import NodeState

LIVE_STATES = (NodeState.ALIVE, NodeState.SUSPECT)
BUCKETS = 256

_NODE_STATE_RANK = {
    NodeState.ALIVE: 0,
    NodeState.SUSPECT: 1,
    NodeState.DEAD: 2,
    NodeState.LEFT: 3,
}


def compute_node_order(record):
    """Return the sort key that orders records of a node from older to newer.

    Parameters
    ----------
    record : NodeRecord
        The record.

    Returns
    -------
    tuple
        Incarnation, sequence and rank of the state, then all other fields, so that
        different records never compare equal.
    """
    return (
        record.incarnation,
        record.sequence,
        _NODE_STATE_RANK[record.state],
        record.address,
        record.call_port,
        record.mesh_port,
        record.admin_port,
        record.data_centre,
        record.region,
    )


def compute_target_order(record):
    """Return the sort key that orders records of a target from older to newer.

    Parameters
    ----------
    record : TargetRecord
        The record.

    Returns
    -------
    tuple
        Incarnation and sequence, then all other fields but the names.
    """
    return record.incarnation, record.sequence, record.state.value, record.slots


def is_newer(current, record, compute_order):
    """Return whether a received record replaces the current one.

    Parameters
    ----------
    current : NodeRecord or TargetRecord or None
        Current record; None if there is none.
    record : NodeRecord or TargetRecord
        Received record.
    compute_order : callable
        Returns the sort key of a record of this kind.

    Returns
    -------
    bool
        True if `record` comes later in the order.
    """
    return current is None or compute_order(record) > compute_order(current)


def compute_node_hash(record):
    """Return the hash of a record of a node, which is the same on every node.

    Parameters
    ----------
    record : NodeRecord
        The record.

    Returns
    -------
    int
        Hash of 64 bits.
    """
    return _hash("\0".join(map(str, (record.node_id, *compute_node_order(record)))))


def compute_target_hash(record):
    """Return the hash of a record of a target, which is the same on every node.

    Parameters
    ----------
    record : TargetRecord
        The record.

    Returns
    -------
    int
        Hash of 64 bits.
    """
    names = (record.node_id, record.service, record.target_id)
    return _hash("\0".join(map(str, (*names, *compute_target_order(record)))))


def compute_bucket(node_id):
    """Return the bucket of the anti-entropy digest for a node and its targets.

    Parameters
    ----------
    node_id : str
        Name of the node.

    Returns
    -------
    int
        Number from 0 to `BUCKETS` - 1.
    """
    return _hash(node_id) % BUCKETS


def _hash(text):
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def refute(own, record):
    """Return a record of this node that supersedes another record of this node.

    Parameters
    ----------
    own : NodeRecord
        Current record of this node.
    record : NodeRecord
        Record of this node that another node has.

    Returns
    -------
    NodeRecord
        `own` if it is newer already. Otherwise `own` with a higher sequence, or with
        a higher incarnation if that of `record` is higher: an earlier run of the node
        was on an instance whose clock was ahead.
    """
    if not is_newer(own, record, compute_node_order):
        return own
    if record.incarnation > own.incarnation:
        return attrs.evolve(own, incarnation=record.incarnation + 1, sequence=1)
    return attrs.evolve(own, sequence=record.sequence + 1)
