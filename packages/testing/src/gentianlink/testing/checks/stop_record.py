"""Record of a graceful stop of a target or a node, as its operator observed it."""

import attrs


@attrs.frozen
class StopRecord:
    """One graceful stop.

    Attributes
    ----------
    name : str
        Target or node that was stopped.
    asked_ms : int
        Time at which the stop was requested, in milliseconds since the epoch.
    ended_ms : int
        Time at which the process had ended, in milliseconds since the epoch.
    """

    name: str
    asked_ms: int
    ended_ms: int
