"""Arrivals of calls at the target beside this node within a sliding window."""

import collections


class ArrivalWindow:
    """Counts first arrivals and repeats of the last seconds, by service.

    An arrival is a repeat if an earlier attempt of the same call has reached a target,
    or may have.

    Parameters
    ----------
    window_ms : float
        Length of the window in milliseconds.
    """

    def __init__(self, window_ms):
        self._window_ms = window_ms
        self._firsts = collections.defaultdict(collections.deque)
        self._repeats = collections.defaultdict(collections.deque)

    @property
    def services(self):
        """Names of the services that calls have arrived for, in order."""
        return sorted({*self._firsts, *self._repeats})

    def record(self, service, is_repeat, now_ms):
        """Count an arrival.

        Parameters
        ----------
        service : str
            Name of the target's service.
        is_repeat : bool
            Whether an earlier attempt may have reached a target.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        times = (self._repeats if is_repeat else self._firsts)[service]
        self._drop_expired(times, now_ms)
        times.append(now_ms)

    def count_firsts(self, service, now_ms):
        """Return the number of first arrivals within the window."""
        return self._count(self._firsts, service, now_ms)

    def count_repeats(self, service, now_ms):
        """Return the number of repeats within the window."""
        return self._count(self._repeats, service, now_ms)

    def _count(self, arrivals, service, now_ms):
        times = arrivals.get(service)
        if times is None:
            return 0
        self._drop_expired(times, now_ms)
        return len(times)

    def _drop_expired(self, times, now_ms):
        while times and times[0] < now_ms - self._window_ms:
            times.popleft()
