"""What claims ask of membership: which holder may be running, who cleans up."""

from gentianlink.core.node_state import NodeState
from gentianlink.ops.rank import get_ranked

CLEANER_ROLE = "claim-cleaner"
LIVE_STATES = frozenset((NodeState.ALIVE, NodeState.SUSPECT))


def make_is_live(membership):
    """Return a function that says whether the holder of a claim may be running.

    A wrong answer is harmless: it decides whether a repeat is told to come back, never
    whether work may be executed.

    Parameters
    ----------
    membership : Membership
        What this node knows of other nodes.

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
    """Return a function that says whether this node ranks first for cleaning up.

    Parameters
    ----------
    membership : Membership
        What this node knows of other nodes.

    Returns
    -------
    callable
        Takes nothing and returns a bool.
    """

    def is_cleaner():
        names = [record.node_id for record in membership.get_live_nodes()]
        return get_ranked(CLEANER_ROLE, names)[0] == membership.own_record.node_id

    return is_cleaner
