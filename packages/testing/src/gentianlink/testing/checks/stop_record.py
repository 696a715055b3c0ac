"""A graceful stop of a target or of a node, as the operator saw it."""

import attrs


@attrs.frozen
class StopRecord:
    """One graceful stop.

    Attributes
    ----------
    name : str
        Target or node that was stopped.
    asked_ms : int
        Time at which it was asked, in milliseconds since the epoch.
    ended_ms : int
        Time at which its process had ended.
    """

    name: str
    asked_ms: int
    ended_ms: int
