"""Queue with a fixed service rate."""


class RateQueue:
    """Computes the delays that keep requests within a rate.

    Parameters
    ----------
    rate_per_s : float
        Service rate in units of cost per second; 0 for no limit.
    max_wait_ms : float
        Longest delay of a request in milliseconds.
    """

    def __init__(self, rate_per_s, max_wait_ms):
        self._rate_per_s = rate_per_s
        self._max_wait_ms = max_wait_ms
        self._next_start_ms = 0.0

    def compute_delay_ms(self, units, now_ms):
        """Append a request to the queue and return its delay.

        Parameters
        ----------
        units : int
            Cost of the request in units.
        now_ms : float
            Present time in milliseconds.

        Returns
        -------
        float or None
            Delay in milliseconds; None, without queueing the request, if the delay
            would exceed the longest one.
        """
        if not self._rate_per_s:
            return 0.0
        start_ms = max(now_ms, self._next_start_ms)
        if start_ms - now_ms > self._max_wait_ms:
            return None
        self._next_start_ms = start_ms + units * 1000 / self._rate_per_s
        return start_ms - now_ms
