"""Estimate from the deadline of a call how long its caller has been retrying."""

# A call is taken for a first attempt if it allows at least this share of the longest
# time seen for its rule; callers round the time that they have left.
MIN_FIRST_ATTEMPT_RATIO = 0.97


class CallerRetryEstimator:
    """Longest time that the callers of each rule have allowed for an answer.

    A caller that retries a refused call allows only the time that it has left. The
    target latency of the call counts from the first attempt, not from the retry.
    """

    def __init__(self):
        self._longest_allowed_ms = {}

    def estimate_elapsed_ms(self, rule_name, allowed_ms):
        """Estimate the time since the first attempt of a call.

        Parameters
        ----------
        rule_name : str
            Name of the call's rule.
        allowed_ms : float or None
            Time in milliseconds that the caller allows for an answer, None if the call
            states no deadline.

        Returns
        -------
        float
            Time in milliseconds; 0 for a first attempt.
        """
        if allowed_ms is None:
            return 0.0
        longest_ms = max(allowed_ms, self._longest_allowed_ms.get(rule_name, 0.0))
        self._longest_allowed_ms[rule_name] = longest_ms
        if allowed_ms >= MIN_FIRST_ATTEMPT_RATIO * longest_ms:
            return 0.0
        return longest_ms - allowed_ms
