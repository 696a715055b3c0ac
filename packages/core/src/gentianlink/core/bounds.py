"""Time limits and the retry budget that the deployment sets for every node."""

import attrs


@attrs.frozen
class Bounds:
    """Deployment-wide time limits and retry budget.

    Attributes
    ----------
    drain_ms : float
        Time in milliseconds from a target's announcement that it drains until no
        call may reach it.
    grace_ms : float
        Time in milliseconds from the request to stop until the process is killed.
    retry_ratio : float
        Retries allowed to a service, as a ratio of the calls to it.
    retry_window_ms : float
        Length of the retry budget's window in milliseconds.
    retry_extra : float
        Retries allowed per service and window in addition to those of the ratio.
    """

    drain_ms: float = 2000.0
    grace_ms: float = 6000.0
    retry_ratio: float = 0.2
    retry_window_ms: float = 10_000.0
    retry_extra: float = 60.0
