"""Which calls a stopping process still takes."""

# Callers poll readiness once a second and need two answers to stop using a node.
MAX_ACCEPT_MS = 3000.0
# Share of the grace period in which calls are taken at most.
ACCEPT_SHARE = 0.5
# Share of the grace period between the request to stop and the kill that is reserved
# for the last writes and the end of all tasks. A call that is still executing in the
# last sixth of the grace period may be abandoned.
RESERVE_SHARE = 0.125


class StopPlan:
    """Times of a graceful stop, from which calls are taken or refused.

    Parameters
    ----------
    grace_ms : float
        Time in milliseconds from the request to stop to the kill.
    """

    def __init__(self, grace_ms):
        self._grace_ms = grace_ms
        self._started_ms = None

    @property
    def is_stopping(self):
        """Whether the process has been asked to stop."""
        return self._started_ms is not None

    @property
    def accept_ms(self):
        """Time in milliseconds from the request to stop in which calls are taken."""
        return min(MAX_ACCEPT_MS, ACCEPT_SHARE * self._grace_ms)

    @property
    def end_ms(self):
        """End of calls on the monotonic clock in milliseconds; infinite if running."""
        if self._started_ms is None:
            return float("inf")
        return self._started_ms + self._grace_ms * (1 - RESERVE_SHARE)

    def begin(self, now_ms):
        """Begin the stop.

        Parameters
        ----------
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        self._started_ms = now_ms

    def may_take(self, limit_ms, likely_ms, is_repeatable, now_ms):
        """Return whether a call may be taken that has just arrived.

        A call that may not be repeated is taken only if it ends in time for certain,
        and one that may be repeated if it probably does.

        Parameters
        ----------
        limit_ms : float
            Longest time in milliseconds that the call may take.
        likely_ms : float
            Time in milliseconds that it probably takes at most.
        is_repeatable : bool
            Whether a second execution does no harm.
        now_ms : float
            Present time on the monotonic clock in milliseconds.

        Returns
        -------
        bool
            True also if there is no stop.
        """
        if self._started_ms is None:
            return True
        if now_ms - self._started_ms >= self.accept_ms:
            return False
        needed_ms = min(limit_ms, likely_ms) if is_repeatable else limit_ms
        return now_ms + needed_ms <= self.end_ms
