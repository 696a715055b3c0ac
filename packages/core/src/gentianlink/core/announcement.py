"""What a target says to the node beside it."""

import attrs


@attrs.frozen
class Announcement:
    """Announcement and heartbeat of a target.

    Attributes
    ----------
    service : str
        Service of the target.
    target_id : str
        Name of the target.
    port : int
        TCP port of the target.
    slots : int
        Calls that the target executes at once.
    state : str
        State of the target.
    address : str
        IP number of the target.
    """

    service: str
    target_id: str
    port: int
    slots: int
    state: str
    address: str = "127.0.0.1"
