"""Queries of the membership: whether a holder may run, and which node is cleaner."""

from gentianlink.core.node_state import NodeState
from gentianlink.ops.rank import get_ranked

CLEANER_ROLE = "claim-cleaner"
LIVE_STATES = frozenset((NodeState.ALIVE, NodeState.SUSPECT))


def make_is_live(membership):
    """Return a function that checks whether the holder of a claim may be running.

    A wrong result is harmless: it decides only which refusal a repeat gets (in progress
    or outcome unknown), never whether work may be executed.

    Parameters
    ----------
    membership : Membership
        Membership view of this node.

    Returns
    -------
    callable
        Takes a Claim and returns a bool.
    """

    def is_live(claim):
        record = membership.nodes.get(claim.node_id)
        if record is None:
            return True
        if record.incarnation > claim.incarnation:
            return False
        return record.state in LIVE_STATES

    return is_live


def make_is_cleaner(membership):
    """Return a function that checks whether this node is the cleaner.

    The cleaner is the live node that ranks first by rendezvous hashing.

    Parameters
    ----------
    membership : Membership
        Membership view of this node.

    Returns
    -------
    callable
        Takes nothing and returns a bool.
    """

    def is_cleaner():
        node_ids = [record.node_id for record in membership.get_live_nodes()]
        return get_ranked(CLEANER_ROLE, node_ids)[0] == membership.own_record.node_id

    return is_cleaner
