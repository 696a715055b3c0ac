"""Rate limit that a target names in its answers, and when it ends."""

# Answers may arrive in another order than they were made, so an answer without a limit
# ends it only after this time without one that names it.
HOLD_MS = 1000.0


class NamedRateLimit:
    """The rate limit in force, from the answers of one target."""

    def __init__(self):
        self._per_s = None
        self._named_ms = 0.0

    @property
    def per_s(self):
        """Calls a second that the target accepts, None if there is no limit."""
        return self._per_s

    def update(self, per_s, now_ms):
        """Take an answer of the target into account.

        Parameters
        ----------
        per_s : float or None
            Limit that the answer names in calls a second, None if it names none.
        now_ms : float
            Present time on the monotonic clock in milliseconds.

        Returns
        -------
        bool
            Whether the limit in force has changed.
        """
        if per_s is not None:
            self._named_ms = now_ms
        elif self._per_s is None or now_ms - self._named_ms < HOLD_MS:
            return False
        is_changed = per_s != self._per_s
        self._per_s = per_s
        return is_changed
