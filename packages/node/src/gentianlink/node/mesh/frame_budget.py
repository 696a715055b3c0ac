"""Bound what a neighbour may send: frames a second and frames that don't decode."""

FRAMES_PER_S = 1000
FRAMES_BURST = 4000
MAX_MALFORMED = 3


class FrameBudget:
    """Token bucket of one link.

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
        """Count a frame.

        Parameters
        ----------
        now_ms : float
            Present time on the monotonic clock in milliseconds.

        Returns
        -------
        bool
            False if the neighbour sends more than it may.
        """
        elapsed_ms = now_ms - self._updated_ms
        self._updated_ms = now_ms
        gained = elapsed_ms * FRAMES_PER_S / 1000
        self._tokens = min(FRAMES_BURST, self._tokens + gained) - 1
        return self._tokens >= 0

    def take_malformed(self):
        """Count a frame that doesn't decode.

        Returns
        -------
        bool
            False if the neighbour has sent too many of them.
        """
        self._malformed += 1
        return self._malformed < MAX_MALFORMED
