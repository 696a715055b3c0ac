"""Token bucket that limits the rate at which a gate lets calls through."""

MS_PER_S = 1000.0
# Calls that may be saved up while a target gets none, as the time in which they are
# earned.
BURST_S = 1.0
# A target that gets no calls at all can't tell that its limit has ended.
MIN_PER_S = 0.5
# Tolerance for rounding, in tokens.
EPSILON = 1e-6


class TokenBucket:
    """Earns tokens at a rate; each call takes one.

    A new bucket is empty, because it does not know the calls before it.

    Parameters
    ----------
    per_s : float
        Tokens earned a second, at least :data:`MIN_PER_S`.
    now_ms : float
        Present time on the monotonic clock in milliseconds.
    """

    def __init__(self, per_s, now_ms):
        self._per_s = max(MIN_PER_S, per_s)
        self._tokens = 0.0
        self._updated_ms = now_ms

    def set_rate(self, per_s, now_ms):
        """Change the rate; tokens earned so far are kept."""
        self._refill(now_ms)
        self._per_s = max(MIN_PER_S, per_s)

    def take(self, now_ms):
        """Take one token; it must be available."""
        self._refill(now_ms)
        self._tokens -= 1.0

    def compute_wait_ms(self, tokens, now_ms):
        """Return the time until a number of tokens has been earned.

        Parameters
        ----------
        tokens : int
            Number of tokens.
        now_ms : float
            Present time on the monotonic clock in milliseconds.

        Returns
        -------
        float
            Time in milliseconds; 0 if the tokens are available.
        """
        self._refill(now_ms)
        missing = tokens - self._tokens
        return missing / self._per_s * MS_PER_S if missing > EPSILON else 0.0

    def _refill(self, now_ms):
        earned = max(0.0, now_ms - self._updated_ms) * self._per_s / MS_PER_S
        capacity = max(1.0, BURST_S * self._per_s)
        self._tokens = min(capacity, self._tokens + earned)
        self._updated_ms = max(self._updated_ms, now_ms)
