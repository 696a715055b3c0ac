"""A place that calls can be sent to."""

import attrs

from gentianlink.core.target_state import TargetState


@attrs.frozen
class Endpoint:
    """One target together with the address of the node beside it.

    Attributes
    ----------
    target_id : str
        Name of the target.
    node_id : str
        Node beside the target.
    data_centre : str
        Data centre of the node.
    address : str
        IP number of the node.
    call_port : int
        TCP port of the node for calls.
    state : TargetState
        State of the target.
    slots : int
        Calls that the target executes at once.
    """

    target_id: str
    node_id: str
    data_centre: str
    address: str
    call_port: int
    state: TargetState
    slots: int
