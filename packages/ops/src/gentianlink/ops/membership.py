"""Merge statements about nodes and targets; the order of arrival does not matter."""

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
    """Return the sort key by which a later statement about a node wins.

    Parameters
    ----------
    record : NodeRecord
        The statement.

    Returns
    -------
    tuple
        Incarnation, sequence and rank of the state, then all other fields, so that
        two different statements are never equal in order.
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
    """Return the sort key by which a later statement about a target wins.

    Parameters
    ----------
    record : TargetRecord
        The statement.

    Returns
    -------
    tuple
        Incarnation and sequence, then all other fields.
    """
    return record.incarnation, record.sequence, record.state.value, record.slots


def is_newer(known, record, compute_order):
    """Return whether a statement replaces the one known.

    Parameters
    ----------
    known : NodeRecord or TargetRecord or None
        Statement known so far.
    record : NodeRecord or TargetRecord
        Statement that arrived.
    compute_order : callable
        Sort key for this kind of record.

    Returns
    -------
    bool
        True if `record` comes later in the order.
    """
    return known is None or compute_order(record) > compute_order(known)


def compute_node_hash(record):
    """Return a hash of a statement about a node, the same on every node.

    Parameters
    ----------
    record : NodeRecord
        The statement.

    Returns
    -------
    int
        64 bits.
    """
    return _hash("\0".join(map(str, (record.node_id, *compute_node_order(record)))))


def compute_target_hash(record):
    """Return a hash of a statement about a target, the same on every node.

    Parameters
    ----------
    record : TargetRecord
        The statement.

    Returns
    -------
    int
        64 bits.
    """
    names = (record.node_id, record.service, record.target_id)
    return _hash("\0".join(map(str, (*names, *compute_target_order(record)))))


def compute_bucket(node_id):
    """Return the bucket of the digest that holds a node and its targets.

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
    """Return a statement about this node that comes after another one.

    Parameters
    ----------
    own : NodeRecord
        Present statement of this node about itself.
    record : NodeRecord
        Statement that someone else holds about this node.

    Returns
    -------
    NodeRecord
        `own` if it already comes later. Otherwise `own` with a higher sequence, or
        with a higher incarnation where `record` is of an instance whose clock was
        ahead.
    """
    if not is_newer(own, record, compute_node_order):
        return own
    if record.incarnation > own.incarnation:
        return attrs.evolve(own, incarnation=record.incarnation + 1, sequence=1)
    return attrs.evolve(own, sequence=record.sequence + 1)
