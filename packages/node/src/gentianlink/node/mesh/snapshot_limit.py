"""How many whole versions this node gives to neighbours."""

import collections

WINDOW_MS = 1000


class SnapshotLimit:
    """Admission of snapshots, as a number in each second.

    Parameters
    ----------
    snapshots_per_s : int
        Snapshots given in any second.
    """

    def __init__(self, snapshots_per_s):
        self._limit = snapshots_per_s
        self._given_ms = collections.deque()

    def admit(self, now_ms):
        """Count a snapshot if it may be given now.

        Parameters
        ----------
        now_ms : float
            Present monotonic time in milliseconds.

        Returns
        -------
        float
            Wait in milliseconds after which to ask again; 0 if it may be given.
        """
        while self._given_ms and now_ms - self._given_ms[0] >= WINDOW_MS:
            self._given_ms.popleft()
        if len(self._given_ms) >= self._limit:
            return self._given_ms[0] + WINDOW_MS - now_ms
        self._given_ms.append(now_ms)
        return 0.0
