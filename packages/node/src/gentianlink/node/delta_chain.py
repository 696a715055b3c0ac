"""The latest deltas, kept for neighbours that have an earlier version."""

import collections

from gentianlink.core.codec import encode

MAX_DELTAS = 32
MAX_CHAIN_BYTES = 256 * 1024


class DeltaChain:
    """Encoded deltas in order, each from the version that the previous one leads to."""

    def __init__(self):
        self._deltas = collections.deque()
        self._bytes = 0

    def append(self, delta):
        """Append a delta, and drop the oldest ones over the limits.

        Parameters
        ----------
        delta : Delta
            Delta to the next version.
        """
        data = encode(delta)
        self._deltas.append((delta.from_version, data))
        self._bytes += len(data)
        while len(self._deltas) > MAX_DELTAS or self._bytes > MAX_CHAIN_BYTES:
            _, dropped = self._deltas.popleft()
            self._bytes -= len(dropped)

    def clear(self):
        """Drop all deltas, after a version that was received as a snapshot."""
        self._deltas.clear()
        self._bytes = 0

    def get_since(self, version):
        """Return the deltas from a version to the latest one.

        Parameters
        ----------
        version : int
            Version that the first delta must start from.

        Returns
        -------
        list of bytes
            Encoded deltas, empty if none of them starts from that version.
        """
        from_versions = [from_version for from_version, _ in self._deltas]
        if version not in from_versions:
            return []
        return [data for _, data in list(self._deltas)[from_versions.index(version) :]]
