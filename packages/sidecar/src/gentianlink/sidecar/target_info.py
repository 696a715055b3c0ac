"""What a node says of the target beside it."""

import attrs

from gentianlink.core.target_state import TargetState


@attrs.frozen
class TargetInfo:
    """A target as its node knows it from heartbeats and from calls.

    Attributes
    ----------
    target_id : str
        Name of the target.
    service : str
        Service that it provides.
    slots : int
        Calls that it executes at once.
    state : TargetState
        State that it announced last.
    started_ms : int
        Start of its process in milliseconds since the epoch.
    sequence : int
        Number of its last heartbeat.
    is_reachable : bool
        Whether the node could connect to it lately.
    cold_until_ms : int
        End of its slow start in milliseconds since the epoch.
    is_failing : bool
        Whether it fails many calls at present, whatever its health checks say.
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

    @property
    def order(self):
        """Start and sequence, by which older statements are told from newer ones."""
        return self.started_ms, self.sequence
