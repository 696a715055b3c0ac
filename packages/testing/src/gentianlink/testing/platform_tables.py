"""Tables of the platform stand-in, with the history of their changes."""

import asyncio
import bisect

from gentianlink.testing.table_state import TableState


class PlatformTables(TableState):
    """Rows of all tables by table and key, and waits for their changes."""

    def __init__(self):
        super().__init__()
        self._history = []
        self._changed = asyncio.Event()
        self.history_start = 0

    def find(self, place):
        """Return key, revision and value of a row, None if there is none.

        Parameters
        ----------
        place : tuple of str
            Table and key.

        Returns
        -------
        tuple or None
            Key, revision and value.
        """
        if place not in self._rows:
            return None
        return (place[1], *self._rows[place])

    def read_range(self, table, first, end, limit):
        """Return the rows of a table in a range of keys.

        Parameters
        ----------
        table : str
            Name of the table.
        first : str
            First key.
        end : str
            Key before which the range ends; empty for no end.
        limit : int
            Largest number of rows.

        Returns
        -------
        list of tuple
            Keys, revisions and values in the order of keys.
        """
        self.reads += 1
        rows = []
        for place in self._keys[bisect.bisect_left(self._keys, (table, first)) :]:
            if place[0] != table or (end and place[1] >= end) or len(rows) >= limit:
                break
            rows.append(self.find(place))
        return rows

    def transact(self, checks, puts, deletes=()):
        """Write all rows, or none if a check fails, and wake who waits for changes.

        Parameters
        ----------
        checks : list of tuple
            Places of rows and the revisions that they must have.
        puts : list of tuple
            Places and values.
        deletes : sequence of tuple, optional
            Places of rows to remove.

        Returns
        -------
        conflict : tuple or None
            Place and revision of the first row that failed its check.
        revision : int
            Revision of the transaction.
        """
        conflict, revision = super().transact(checks, puts, deletes)
        if conflict is None:
            self._changed.set()
            self._changed = asyncio.Event()
        return conflict, revision

    def _note_change(self, key, value):
        self._history.append((self.revision, key, value))

    def forget_history(self):
        """Forget all changes so far, as the platform may at any time."""
        self._history.clear()
        self.history_start = self.revision

    async def wait_for_changes(self, table, after, wait_s):
        """Return the rows that changed after a revision, once there are any.

        Parameters
        ----------
        table : str
            Name of the table.
        after : int
            Revision.
        wait_s : float
            Longest wait in seconds.

        Returns
        -------
        list of tuple or None
            Keys, revisions and values, None for removed rows; latest change of each.
            None in place of the list if the history since then is forgotten.
        """
        self.reads += 1
        try:
            async with asyncio.timeout(wait_s):
                while after >= self.history_start:
                    if rows := self._get_changes(table, after):
                        return rows
                    await self._changed.wait()
        except TimeoutError:
            return []
        return None

    def _get_changes(self, table, after):
        latest = {}
        for revision, place, value in self._history:
            if revision > after and place[0] == table:
                latest.pop(place[1], None)
                latest[place[1]] = (place[1], revision, value)
        return list(latest.values())
