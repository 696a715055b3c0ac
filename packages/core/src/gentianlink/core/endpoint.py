"""A target as a destination of calls."""

import attrs

from gentianlink.core.target_state import TargetState


@attrs.frozen
class Endpoint:
    """One target, with the address of the node that forwards calls to it.

    Attributes
    ----------
    target_id : str
        Name of the target.
    node_id : str
        Node that forwards calls to the target.
    data_centre : str
        Data centre of the node.
    address : str
        IP address of the node.
    call_port : int
        TCP port on which the node accepts calls.
    state : TargetState
        State of the target.
    slots : int
        Number of calls that the target executes concurrently.
    """

    target_id: str
    node_id: str
    data_centre: str
    address: str
    call_port: int
    state: TargetState
    slots: int
