"""Circuit breaker for the table service."""

FAILURES_TO_OPEN = 3
PROBE_PERIOD_MS = 1000


class StoreBreaker:
    """Refuses calls at once while the table service does not answer.

    The breaker opens after ``FAILURES_TO_OPEN`` failures in a row. While open, it lets
    one call per ``PROBE_PERIOD_MS`` through as a probe. The first success of a probe or
    of a background write closes it.
    """

    def __init__(self):
        self._failures = 0
        self._next_probe_ms = 0.0

    @property
    def is_open(self):
        """Whether the breaker is open: calls other than probes are refused."""
        return self._failures >= FAILURES_TO_OPEN

    def may_try(self, now_ms):
        """Return whether a call may use the table service.

        Parameters
        ----------
        now_ms : float
            Present time on the monotonic clock in milliseconds.

        Returns
        -------
        bool
            False if the call is to be refused at once.
        """
        if not self.is_open:
            return True
        if now_ms < self._next_probe_ms:
            return False
        self._next_probe_ms = now_ms + PROBE_PERIOD_MS
        return True

    def note_success(self):
        """Record that the table service answered."""
        self._failures = 0

    def note_failure(self, now_ms):
        """Record that the table service did not answer.

        Parameters
        ----------
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        self._failures += 1
        if self._failures == FAILURES_TO_OPEN:
            self._next_probe_ms = now_ms + PROBE_PERIOD_MS
