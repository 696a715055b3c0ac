"""Tables of the platform stand-in with a change history."""

import asyncio
import bisect

from gentianlink.testing.table_state import TableState


class PlatformTables(TableState):
    """Rows of all tables by table and key, with a change feed for long polls."""

    def __init__(self):
        super().__init__()
        self._history = []
        self._changed = asyncio.Event()
        self.history_start = 0
        self.era = 1

    def find(self, row_id):
        """Return key, revision and value of a row, None if it does not exist.

        Parameters
        ----------
        row_id : tuple of str
            Table and key.

        Returns
        -------
        tuple or None
            Key, revision and value.
        """
        if row_id not in self._rows:
            return None
        return (row_id[1], *self._rows[row_id])

    def read_range(self, table, first, end, limit):
        """Return the rows of a table in a range of keys.

        Parameters
        ----------
        table : str
            Name of the table.
        first : str
            First key of the range.
        end : str
            Exclusive upper bound of the keys; empty for no bound.
        limit : int
            Maximum number of rows.

        Returns
        -------
        list of tuple
            Keys, revisions and values in the order of keys.
        """
        self.reads += 1
        rows = []
        for row_id in self._keys[bisect.bisect_left(self._keys, (table, first)) :]:
            if row_id[0] != table or (end and row_id[1] >= end) or len(rows) >= limit:
                break
            rows.append(self.find(row_id))
        return rows

    def transact(self, checks, puts, deletes=()):
        """Write all rows, or none if a check fails, and wake the waiting long polls.

        Parameters
        ----------
        checks : list of tuple
            Pairs of a row id, which is table and key, and the revision expected.
        puts : list of tuple
            Pairs of a row id and the new value.
        deletes : sequence of tuple, optional
            Ids of the rows to delete.

        Returns
        -------
        conflict : tuple or None
            Id and revision of the first row that failed its check.
        revision : int
            Revision of the transaction; 0 if a check failed.
        """
        conflict, revision = super().transact(checks, puts, deletes)
        if conflict is None:
            self._changed.set()
            self._changed = asyncio.Event()
        return conflict, revision

    def _record_change(self, key, value):
        self._history.append((self.revision, key, value))

    def compact_history(self):
        """Drop the history of all changes, as the platform may at any time."""
        self._history.clear()
        self.history_start = self.revision

    def copy_rows(self):
        """Return a copy of all rows, to return to with :meth:`restore_copy`."""
        return self.revision, dict(self._rows)

    def restore_copy(self, copy):
        """Return to a copy; what was written since is lost, and an era begins.

        Revisions after that of the copy are given out again.

        Parameters
        ----------
        copy : tuple
            Result of :meth:`copy_rows`.
        """
        self.revision, rows = copy
        self._rows = dict(rows)
        self._keys = sorted(rows)
        self._history = [item for item in self._history if item[0] <= self.revision]
        self.era += 1
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_for_changes(self, table, after, wait_s):
        """Wait for changes after a revision and return the changed rows.

        Parameters
        ----------
        table : str
            Name of the table.
        after : int
            Revision after which changes count.
        wait_s : float
            Timeout of the long poll in seconds.

        Returns
        -------
        list of tuple or None
            Key, revision and value of the latest change of each row; the value of a
            deleted row is None. The list is empty after the timeout. None instead of
            a list if the history no longer reaches back to the revision, or there is
            no such revision.
        """
        self.reads += 1
        era = self.era
        try:
            async with asyncio.timeout(wait_s):
                while self.era == era and self.history_start <= after <= self.revision:
                    if rows := self._get_changes(table, after):
                        return rows
                    await self._changed.wait()
        except TimeoutError:
            return []
        return None

    def _get_changes(self, table, after):
        latest = {}
        for revision, row_id, value in self._history:
            if revision > after and row_id[0] == table:
                latest.pop(row_id[1], None)
                latest[row_id[1]] = (row_id[1], revision, value)
        return list(latest.values())
