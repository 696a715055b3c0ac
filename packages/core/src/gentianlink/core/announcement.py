"""Announcement that a target sends to its node."""

import attrs


@attrs.frozen
class Announcement:
    """Announcement of a target; repeats serve as heartbeats.

    Attributes
    ----------
    service : str
        Service of the target.
    target_id : str
        Name of the target.
    port : int
        TCP port of the target.
    slots : int
        Number of calls that the target executes concurrently.
    state : str
        Announced state of the target.
    address : str
        IP address of the target.
    """

    service: str
    target_id: str
    port: int
    slots: int
    state: str
    address: str = "127.0.0.1"
