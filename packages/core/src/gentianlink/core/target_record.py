"""What membership knows of one target."""

import attrs

from gentianlink.core.target_state import TargetState


@attrs.frozen
class TargetRecord:
    """One target and the node beside it.

    Attributes
    ----------
    service : str
        Service of the target.
    target_id : str
        Name of the target.
    node_id : str
        Node beside the target.
    incarnation : int
        Incarnation of that node.
    sequence : int
        Number of the statement within the incarnation.
    state : TargetState
        State of the target.
    slots : int
        Calls that the target executes at once.
    """

    service: str
    target_id: str
    node_id: str
    incarnation: int
    sequence: int
    state: TargetState
    slots: int
