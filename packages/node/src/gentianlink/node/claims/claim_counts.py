"""Numbers of what happened to at-most-once calls."""

import collections


class ClaimCounts:
    """Counts by result, for metrics."""

    def __init__(self):
        self._counts = collections.Counter()

    def add(self, result, number=1):
        """Count a result."""
        self._counts[result] += number

    def get_all(self):
        """Return the numbers by result."""
        return dict(self._counts)
