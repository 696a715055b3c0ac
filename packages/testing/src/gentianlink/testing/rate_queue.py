"""A queue that is served at a fixed rate."""


class RateQueue:
    """Delays requests so that they keep to a rate.

    Parameters
    ----------
    rate_per_s : float
        Units a second; 0 for no limit.
    max_wait_ms : float
        Longest delay in milliseconds.
    """

    def __init__(self, rate_per_s, max_wait_ms):
        self._rate_per_s = rate_per_s
        self._max_wait_ms = max_wait_ms
        self._free_ms = 0.0

    def compute_delay_ms(self, units, now_ms):
        """Take a place in the queue.

        Parameters
        ----------
        units : int
            Cost of the request.
        now_ms : float
            Present time in milliseconds.

        Returns
        -------
        float or None
            Time to wait in milliseconds, None if the queue is too long.
        """
        if not self._rate_per_s:
            return 0.0
        start_ms = max(now_ms, self._free_ms)
        if start_ms - now_ms > self._max_wait_ms:
            return None
        self._free_ms = start_ms + units * 1000 / self._rate_per_s
        return start_ms - now_ms
