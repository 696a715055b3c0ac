"""Arrivals of calls at the target beside this node within a sliding window."""

from gentianlink.sidecar.retries.recent_counts import RecentCounts


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
        self._firsts = RecentCounts(window_ms)
        self._repeats = RecentCounts(window_ms)

    @property
    def services(self):
        """Names of the services that calls have arrived for, in order."""
        return sorted(self._firsts.keys | self._repeats.keys)

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
        counts = self._repeats if is_repeat else self._firsts
        counts.record(service, now_ms)

    def count_firsts(self, service, now_ms):
        """Return the number of first arrivals within the window."""
        return self._firsts.count(service, now_ms)

    def count_repeats(self, service, now_ms):
        """Return the number of repeats within the window."""
        return self._repeats.count(service, now_ms)
