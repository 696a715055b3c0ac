"""Remove and compact old claims at a bounded rate."""

import asyncio

from gentianlink.core.codec import decode, encode
from gentianlink.core.errors import CodecError, PlatformError
from gentianlink.node.claims.claim import Claim
from gentianlink.node.claims.retention import (
    PLAIN_PREFIX,
    TIMED_PREFIX,
    compact,
    is_removable,
)
from gentianlink.node.clock import get_now_ms

MS_PER_HOUR = 3_600_000
PLAIN_PASS_MS = MS_PER_HOUR
BEHIND_FACTOR = 10


class Cleaner:
    """Walks over the claim rows, a bounded number of rows each step.

    Several cleaners do no harm: every write is conditional on the row that was read.

    Parameters
    ----------
    table : TableClient
        The table service.
    retention_ms : int
        Retention of claims in milliseconds.
    max_rows : int
        Rows read and written in each half of a step.
    counts : ClaimCounts
        Numbers of what happened.
    """

    def __init__(self, table, retention_ms, max_rows, counts):
        self._table = table
        self._retention_ms = retention_ms
        self._max_rows = max_rows
        self._counts = counts
        self._plain_after = ""
        self._pass_due_ms = 0

    @classmethod
    def from_settings(cls, settings, table, counts):
        """Return a cleaner for the ``claims`` section of the settings."""
        retention_ms = settings.retention_hours * MS_PER_HOUR
        return cls(table, retention_ms, settings.clean_rows, counts)

    async def step(self, now_ms):
        """Do one step: at most three scans and two transactions.

        Parameters
        ----------
        now_ms : int
            Present time in milliseconds since the epoch.

        Returns
        -------
        bool
            True if more rows may be removed at once.

        Raises
        ------
        PlatformError
            If the table service failed; the next step goes on.
        """
        is_behind = await self._remove_timed(now_ms)
        await self._compact_plain(now_ms)
        return is_behind

    async def _remove_timed(self, now_ms):
        oldest = await self._table.scan(TIMED_PREFIX, limit=1)
        if not oldest or not self._is_removable(oldest[0], now_ms):
            return False
        rows = await self._table.scan(TIMED_PREFIX, limit=self._max_rows)
        old = [row for row in rows if self._is_removable(row, now_ms)]
        await self._table.transact([], old, deletes=[row.key for row in old])
        self._counts.add("removed", len(old))
        return len(old) == self._max_rows

    def _is_removable(self, row, now_ms):
        key = row.key.removeprefix(TIMED_PREFIX)
        return is_removable(key, self._retention_ms, now_ms)

    async def _compact_plain(self, now_ms):
        if now_ms < self._pass_due_ms:
            return
        rows = await self._table.scan(PLAIN_PREFIX, self._plain_after, self._max_rows)
        is_end = len(rows) < self._max_rows
        self._plain_after = "" if is_end else rows[-1].key
        if is_end:
            self._pass_due_ms = now_ms + PLAIN_PASS_MS
        changed = [pair for row in rows for pair in self._compact(row, now_ms)]
        if not changed:
            return
        puts = [(row.key, value) for row, value in changed]
        await self._table.transact(puts, [row for row, _ in changed])
        self._counts.add("compacted", len(changed))

    def _compact(self, row, now_ms):
        try:
            claim = decode(row.value.encode(), Claim)
        except CodecError:
            return
        compacted = compact(claim, self._retention_ms, now_ms)
        if compacted is not claim:
            yield row, encode(compacted).decode()


async def run_cleaner(cleaner, is_first, period_ms):
    """Run a step each period while this node ranks first for them.

    Parameters
    ----------
    cleaner : Cleaner
        Does the steps.
    is_first : callable
        Returns whether this node ranks first.
    period_ms : int
        Time between steps in milliseconds; a tenth of it while rows are left over.
    """
    is_behind = False
    while True:
        wait_ms = period_ms / BEHIND_FACTOR if is_behind else period_ms
        await asyncio.sleep(wait_ms / 1000)
        is_behind = False
        if not is_first():
            continue
        try:
            is_behind = await cleaner.step(get_now_ms())
        except PlatformError:
            continue
