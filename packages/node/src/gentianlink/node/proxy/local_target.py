"""A target that announced itself to this node."""

import attrs

from gentianlink.core.target_state import TargetState
from gentianlink.node.proxy.gate import Gate


@attrs.define
class LocalTarget:
    """A local target, with its lease and its gate.

    Attributes
    ----------
    service : str
        Service of the target.
    target_id : str
        Name of the target.
    address : str
        IP address of the target.
    port : int
        TCP port of the target.
    state : TargetState
        State that the target announced last.
    gate : Gate
        Admission control of the target.
    expires_ms : float
        End of its lease on the monotonic clock in milliseconds.
    slots : int
        Number of calls that the target executes at once.
    """

    service: str
    target_id: str
    address: str
    port: int
    state: TargetState
    gate: Gate
    expires_ms: float
    slots: int = 1
