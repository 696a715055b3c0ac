"""Rows of the table service stand-in."""

import bisect


class TableState:
    """Rows with revisions, and how often they were read and written."""

    def __init__(self):
        self._rows = {}
        self._keys = []
        self.revision = 0
        self.reads = 0
        self.writes = 0

    def read(self, key):
        """Return revision and value of a row; 0 and empty if there is none."""
        self.reads += 1
        return self._rows.get(key, (0, ""))

    def scan(self, prefix, after, limit):
        """Return keys, revisions and values of the rows with a prefix."""
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
            Keys and the revisions that they must have.
        puts : list of tuple
            Keys and values.
        deletes : sequence of str, optional
            Keys of rows to remove.

        Returns
        -------
        conflict : tuple or None
            Key and revision of the first row that failed its check.
        revision : int
            Revision of the transaction.
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
            self._note_change(key, value)
        for key in deletes:
            if self._rows.pop(key, None) is not None:
                self._keys.remove(key)
                self._note_change(key, None)
        return None, self.revision

    def _note_change(self, key, value):
        """Take in that a row was written, or removed if the value is None."""
