"""Events of the last seconds, counted by key."""

import collections


class RecentCounts:
    """Counts the events of each key within a sliding window.

    Parameters
    ----------
    window_ms : float
        Length of the window in milliseconds.
    """

    def __init__(self, window_ms):
        self._window_ms = window_ms
        self._times_ms = {}

    @property
    def keys(self):
        """Keys that had an event since the start."""
        return self._times_ms.keys()

    def record(self, key, now_ms):
        """Count an event.

        Parameters
        ----------
        key : str
            Key of the event.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        times_ms = self._times_ms.setdefault(key, collections.deque())
        self._drop_expired(times_ms, now_ms)
        times_ms.append(now_ms)

    def count(self, key, now_ms):
        """Return the number of events of a key within the window.

        Parameters
        ----------
        key : str
            The key.
        now_ms : float
            Present time on the monotonic clock in milliseconds.

        Returns
        -------
        int
            Number of events, 0 for an unknown key.
        """
        times_ms = self._times_ms.get(key)
        if times_ms is None:
            return 0
        self._drop_expired(times_ms, now_ms)
        return len(times_ms)

    def _drop_expired(self, times_ms, now_ms):
        start_ms = now_ms - self._window_ms
        while times_ms and times_ms[0] < start_ms:
            times_ms.popleft()
