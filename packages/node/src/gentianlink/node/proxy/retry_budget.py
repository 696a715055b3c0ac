"""A budget of retries for each service."""

TOKENS_PER_CALL = 0.1
TOKENS_PER_S = 1.0
MAX_TOKENS = 10.0
EWMA_WEIGHT = 0.05
MS_PER_S = 1000


class RetryBudget:
    """Token bucket that limits the retries of this node to a service.

    Each call adds a tenth of a token and each second adds one, up to the size of the
    bucket. The mean time of an answer decides whether a call has time for another
    attempt.

    Parameters
    ----------
    now_ms : float
        Present time on the monotonic clock in milliseconds.
    """

    def __init__(self, now_ms):
        self._tokens = MAX_TOKENS
        self._updated_ms = now_ms
        self._mean_ms = 0.0

    @property
    def mean_ms(self):
        """Moving average of the time of a whole answer in milliseconds."""
        return self._mean_ms

    def record_call(self, now_ms):
        """Add the tokens for one call and for the time since the previous call."""
        elapsed_s = max(0.0, now_ms - self._updated_ms) / MS_PER_S
        self._updated_ms = now_ms
        earned = TOKENS_PER_CALL + elapsed_s * TOKENS_PER_S
        self._tokens = min(MAX_TOKENS, self._tokens + earned)

    def record_answer(self, elapsed_ms):
        """Update the mean with the time of a whole answer in milliseconds."""
        weight = EWMA_WEIGHT if self._mean_ms else 1.0
        self._mean_ms += weight * (elapsed_ms - self._mean_ms)

    def has_time(self, remaining_ms):
        """Return whether another attempt can be expected to end in time."""
        return remaining_ms > max(1.0, self._mean_ms)

    def try_take(self):
        """Take the token for one retry.

        Returns
        -------
        bool
            False if no token is left.
        """
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
