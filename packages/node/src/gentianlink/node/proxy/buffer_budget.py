"""Memory that the large bodies of one server may take while they arrive."""


class BufferBudget:
    """Bytes of large request bodies that a server buffers at the same time.

    Parameters
    ----------
    capacity_bytes : int
        Upper bound in bytes.
    """

    def __init__(self, capacity_bytes):
        self._capacity_bytes = capacity_bytes
        self._used_bytes = 0

    @property
    def used_bytes(self):
        """Bytes in use."""
        return self._used_bytes

    def try_take(self, size):
        """Take a number of bytes if they are left.

        Parameters
        ----------
        size : int
            Number of bytes.

        Returns
        -------
        bool
            Whether the bytes were taken.
        """
        if self._used_bytes + size > self._capacity_bytes:
            return False
        self._used_bytes += size
        return True

    def give_back(self, size):
        """Return a number of bytes that were taken."""
        self._used_bytes -= size
