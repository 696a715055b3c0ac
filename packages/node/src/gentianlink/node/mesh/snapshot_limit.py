"""Rate limit of the snapshots that this node sends to neighbours."""

import collections

WINDOW_MS = 1000


class SnapshotLimit:
    """Sliding-window limit on the number of snapshots per second.

    Parameters
    ----------
    snapshots_per_s : int
        Snapshots that may be sent in any second.
    """

    def __init__(self, snapshots_per_s):
        self._limit = snapshots_per_s
        self._admitted_ms = collections.deque()

    def admit(self, now_ms):
        """Count a snapshot if it may be sent now.

        Parameters
        ----------
        now_ms : float
            Present time on the monotonic clock in milliseconds.

        Returns
        -------
        float
            Time in milliseconds after which to retry; 0 if it may be sent.
        """
        while self._admitted_ms and now_ms - self._admitted_ms[0] >= WINDOW_MS:
            self._admitted_ms.popleft()
        if len(self._admitted_ms) >= self._limit:
            return self._admitted_ms[0] + WINDOW_MS - now_ms
        self._admitted_ms.append(now_ms)
        return 0.0
