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
    quota_window_ms : float
        Length in milliseconds of any window in which a tenant's limit holds.
    quota_overage : float
        Tolerated excess over a tenant's limit in a window, as a share of the limit.
    quota_slack : float
        Tolerated excess over a tenant's limit in a window, in calls.
    expose_share : float
        Largest share of a service's calls that a bad version may get in a roll-out.
    expose_slack : float
        Calls that a bad version may get in addition to the share.
    rollback_ms : float
        Time in milliseconds after its 50th bad answer in which a version loses all
        calls.
    """

    drain_ms: float = 2000.0
    grace_ms: float = 6000.0
    retry_ratio: float = 0.2
    retry_window_ms: float = 10_000.0
    retry_extra: float = 60.0
    quota_window_ms: float = 5000.0
    quota_overage: float = 0.0
    quota_slack: float = 0.0
    expose_share: float = 0.1
    expose_slack: float = 0.0
    rollback_ms: float = 5000.0
