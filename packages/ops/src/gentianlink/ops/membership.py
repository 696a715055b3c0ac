"""Merge statements about nodes and targets; the order of arrival does not matter."""

import hashlib

from gentianlink.core.codec import encode
from gentianlink.core.node_state import NodeState

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
        Incarnation, sequence and rank of the state.
    """
    return record.incarnation, record.sequence, _NODE_STATE_RANK[record.state]


def compute_target_order(record):
    """Return the sort key by which a later statement about a target wins.

    Parameters
    ----------
    record : TargetRecord
        The statement.

    Returns
    -------
    tuple
        Incarnation and sequence.
    """
    return record.incarnation, record.sequence


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


def compute_record_hash(record):
    """Return a hash of a statement, the same on every node.

    Parameters
    ----------
    record : NodeRecord or TargetRecord
        The statement.

    Returns
    -------
    int
        64 bits.
    """
    digest = hashlib.blake2b(encode(record), digest_size=8).digest()
    return int.from_bytes(digest, "big")
