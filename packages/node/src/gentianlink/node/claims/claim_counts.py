"""Numbers of what happened to at-most-once calls."""

import collections


class ClaimCounts:
    """Counts by result, for metrics."""

    def __init__(self):
        self._counts = collections.Counter()

    def add(self, result):
        """Count one result."""
        self._counts[result] += 1

    def get_all(self):
        """Return the numbers by result."""
        return dict(self._counts)
