"""State of a target as the node beside it publishes it."""

import attrs

from gentianlink.core.target_state import TargetState


@attrs.frozen
class TargetInfo:
    """State of a target, derived from its heartbeats and from calls to it.

    Attributes
    ----------
    target_id : str
        Name of the target.
    service : str
        Service that the target provides.
    slots : int
        Number of calls that the target executes concurrently.
    state : TargetState
        State that the target announced last.
    started_ms : int
        Start of the target's process in milliseconds since the epoch.
    sequence : int
        Sequence number of the last heartbeat.
    is_reachable : bool
        Whether the node could recently connect to the target.
    cold_until_ms : int
        End of the slow start in milliseconds since the epoch.
    is_failing : bool
        Whether the target currently fails many calls, even if its health checks pass.
    version : str
        Version of the target's software, empty if unknown.
    work_ms : tuple of tuple of str and int
        Typical execution times in milliseconds by name of rule, in coarse steps.
    """

    target_id: str
    service: str
    slots: int
    state: TargetState
    started_ms: int
    sequence: int
    is_reachable: bool = True
    cold_until_ms: int = 0
    is_failing: bool = False
    version: str = ""
    work_ms: tuple[tuple[str, int], ...] = ()

    @property
    def order(self):
        """Start and sequence number; the state with the higher pair is newer."""
        return self.started_ms, self.sequence
