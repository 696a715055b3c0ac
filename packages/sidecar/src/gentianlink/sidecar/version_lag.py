"""How long a version that another node has in force is missing at this node."""


class VersionLag:
    """Age of the oldest announced version that is not in force yet.

    A newer announcement does not change the age, because in a fast series of versions
    the next one comes before a grace period for the last one has passed.
    """

    def __init__(self):
        self._awaited_version = 0
        self._announced_ms = 0.0

    @property
    def is_behind(self):
        """Whether an announced version is missing."""
        return self._awaited_version != 0

    def update(self, newest_version, own_version, now_ms):
        """Take the newest announced version and this node's into account.

        Parameters
        ----------
        newest_version : int
            Newest version that another node is known to have in force.
        own_version : int
            Version in force at this node.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        if own_version < self._awaited_version:
            return
        self._awaited_version = newest_version if newest_version > own_version else 0
        self._announced_ms = now_ms

    def compute_ms(self, now_ms):
        """Return the age of the oldest announced version that is missing.

        Parameters
        ----------
        now_ms : float
            Present time on the monotonic clock in milliseconds.

        Returns
        -------
        float
            Time in milliseconds; 0 if no announced version is missing.
        """
        return now_ms - self._announced_ms if self.is_behind else 0.0
