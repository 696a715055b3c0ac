"""Counters of the results of at-most-once calls."""

import collections


class ClaimCounts:
    """Counters by result, for the metrics."""

    def __init__(self):
        self._counts = collections.Counter()

    def add(self, result, number=1):
        """Increase the counter of a result."""
        self._counts[result] += number

    def get_all(self):
        """Return the counters by result."""
        return dict(self._counts)
