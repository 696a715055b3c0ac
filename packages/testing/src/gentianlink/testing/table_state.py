"""In-memory rows of the table service stand-in."""

import bisect


class TableState:
    """Sorted rows with revisions, and the numbers of reads and writes."""

    def __init__(self):
        self._rows = {}
        self._keys = []
        self.revision = 0
        self.reads = 0
        self.writes = 0

    def read(self, key):
        """Return revision and value of a row; 0 and empty for a missing row."""
        self.reads += 1
        return self._rows.get(key, (0, ""))

    def scan(self, prefix, after, limit):
        """Return keys, revisions and values of rows whose keys start with a prefix."""
        self.reads += 1
        start = bisect.bisect_left(self._keys, prefix)
        if after:
            start = max(start, bisect.bisect_right(self._keys, after))
        rows = []
        for key in self._keys[start:]:
            if not key.startswith(prefix) or len(rows) >= limit:
                break
            rows.append((key, *self._rows[key]))
        return rows

    def transact(self, checks, puts, deletes=()):
        """Write all rows, or none if a check fails.

        Parameters
        ----------
        checks : list of tuple
            Pairs of a key and the revision expected; 0 for a row that must not exist.
        puts : list of tuple
            Pairs of a key and the new value.
        deletes : sequence of str, optional
            Keys of the rows to delete.

        Returns
        -------
        conflict : tuple or None
            Key and revision of the first row that failed its check.
        revision : int
            Revision of the transaction; 0 if a check failed.
        """
        self.writes += 1
        for key, revision in checks:
            found = self._rows.get(key, (0, ""))[0]
            if found != revision:
                return (key, found), 0
        self.revision += 1
        for key, value in puts:
            if key not in self._rows:
                bisect.insort(self._keys, key)
            self._rows[key] = (self.revision, value)
            self._record_change(key, value)
        for key in deletes:
            if self._rows.pop(key, None) is not None:
                self._keys.remove(key)
                self._record_change(key, None)
        return None, self.revision

    def _record_change(self, key, value):
        """Handle the write of a row, or its deletion if the value is None.

        Does nothing here; subclasses override it.
        """
