"""Membership record of a target."""

import attrs

from gentianlink.core.target_state import TargetState


@attrs.frozen
class TargetRecord:
    """State of one target, and the node that forwards calls to it.

    Attributes
    ----------
    service : str
        Service of the target.
    target_id : str
        Name of the target.
    node_id : str
        Node that forwards calls to the target.
    incarnation : int
        Incarnation of that node.
    sequence : int
        Sequence number of the record within the incarnation.
    state : TargetState
        State of the target.
    slots : int
        Number of calls that the target executes concurrently.
    """

    service: str
    target_id: str
    node_id: str
    incarnation: int
    sequence: int
    state: TargetState
    slots: int
