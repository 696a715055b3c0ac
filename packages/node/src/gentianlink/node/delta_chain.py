"""The deltas that led to the latest version, kept for neighbours that are behind."""

import collections

from gentianlink.core.codec import encode

MAX_DELTAS = 32
MAX_CHAIN_BYTES = 256 * 1024


class DeltaChain:
    """Encoded deltas in order, each starting where the one before ended."""

    def __init__(self):
        self._deltas = collections.deque()
        self._bytes = 0

    def append(self, delta):
        """Add the delta that leads to the next version; the oldest ones make room.

        Parameters
        ----------
        delta : Delta
            The delta.
        """
        data = encode(delta)
        self._deltas.append((delta.from_version, data))
        self._bytes += len(data)
        while len(self._deltas) > MAX_DELTAS or self._bytes > MAX_CHAIN_BYTES:
            _, dropped = self._deltas.popleft()
            self._bytes -= len(dropped)

    def clear(self):
        """Forget all deltas, after a version that came whole."""
        self._deltas.clear()
        self._bytes = 0

    def get_since(self, version):
        """Return the deltas that lead on from a version.

        Parameters
        ----------
        version : int
            Version that the first delta must start from.

        Returns
        -------
        list of bytes
            Encoded deltas, empty if the chain does not reach back that far.
        """
        numbers = [from_version for from_version, _ in self._deltas]
        if version not in numbers:
            return []
        return [data for _, data in list(self._deltas)[numbers.index(version) :]]
