"""A budget of retries for each service."""

RETRIES_PER_CALL = 0.1
RETRIES_PER_S = 1.0
MAX_SAVED_RETRIES = 10.0
MEAN_WEIGHT = 0.05
MS_PER_S = 1000


class RetryBudget:
    """Retries that this node may still send to a service.

    Each call adds a tenth of a retry, and each second adds one, up to a bound. The
    mean time of an answer says whether a call has time for another attempt.

    Parameters
    ----------
    now_ms : float
        Present time on the monotonic clock in milliseconds.
    """

    def __init__(self, now_ms):
        self._saved = MAX_SAVED_RETRIES
        self._updated_ms = now_ms
        self._mean_ms = 0.0

    @property
    def mean_ms(self):
        """Mean time of a whole answer in milliseconds."""
        return self._mean_ms

    def record_call(self, now_ms):
        """Add what one call and the time since the last one bring."""
        elapsed_s = max(0.0, now_ms - self._updated_ms) / MS_PER_S
        self._updated_ms = now_ms
        earned = RETRIES_PER_CALL + elapsed_s * RETRIES_PER_S
        self._saved = min(MAX_SAVED_RETRIES, self._saved + earned)

    def record_answer(self, elapsed_ms):
        """Take in how long a whole answer took in milliseconds."""
        weight = MEAN_WEIGHT if self._mean_ms else 1.0
        self._mean_ms += weight * (elapsed_ms - self._mean_ms)

    def has_time(self, remaining_ms):
        """Return whether another attempt can be expected to end in time."""
        return remaining_ms > max(1.0, self._mean_ms)

    def try_take(self):
        """Take one retry out of the budget.

        Returns
        -------
        bool
            False if the budget is spent.
        """
        if self._saved < 1:
            return False
        self._saved -= 1
        return True
