"""Rate limit of the frames of a neighbour, and limit of malformed frames."""

FRAMES_PER_S = 1000
FRAMES_BURST = 4000
MAX_MALFORMED = 3


class FrameBudget:
    """Token bucket for the frames of one link, and a count of malformed ones.

    Parameters
    ----------
    now_ms : float
        Present time on the monotonic clock in milliseconds.
    """

    def __init__(self, now_ms):
        self._tokens = float(FRAMES_BURST)
        self._updated_ms = now_ms
        self._malformed = 0

    def take(self, now_ms):
        """Take a token for a received frame.

        Parameters
        ----------
        now_ms : float
            Present time on the monotonic clock in milliseconds.

        Returns
        -------
        bool
            False if the neighbour exceeds the rate limit.
        """
        elapsed_ms = now_ms - self._updated_ms
        self._updated_ms = now_ms
        refill = elapsed_ms * FRAMES_PER_S / 1000
        self._tokens = min(FRAMES_BURST, self._tokens + refill) - 1
        return self._tokens >= 0

    def count_malformed(self):
        """Count a malformed frame.

        Returns
        -------
        bool
            False if the neighbour has reached ``MAX_MALFORMED`` such frames.
        """
        self._malformed += 1
        return self._malformed < MAX_MALFORMED
