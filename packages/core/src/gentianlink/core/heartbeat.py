"""Heartbeat of a target, as the platform defines it."""

import attrs


@attrs.frozen
class Heartbeat:
    """One heartbeat of a target.

    Attributes
    ----------
    target_id : str
        Name of the target.
    service : str
        Service that the target provides.
    address : str
        IP address and TCP port on which the target accepts calls.
    slots : int
        Number of calls that the target executes concurrently.
    is_draining : bool
        Whether the target is about to stop and must get no new calls.
    cold_ms : float
        Remaining warm-up time in milliseconds, in which the target is still slow.
    started_ms : int
        Start of the target's process in milliseconds since the Unix epoch.
    sequence : int
        Sequence number of the heartbeat since the start of the process.
    version : str
        Version of the target's software, empty if unknown.
    """

    target_id: str
    service: str
    address: str
    slots: int
    is_draining: bool
    cold_ms: float
    started_ms: int
    sequence: int
    version: str = ""

    @property
    def order(self):
        """Sort key by which heartbeats that arrive out of order are detected."""
        return self.started_ms, self.sequence
