"""Whether the holder of a claim may still be running."""

from gentianlink.core.node_state import NodeState

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
