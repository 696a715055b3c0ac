"""Remove and compact claims past their retention at a bounded rate."""

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
PLAIN_PASS_PERIOD_MS = MS_PER_HOUR
BACKLOG_SPEEDUP = 10


class Cleaner:
    """Removes timed rows and compacts plain rows, a bounded number in each step.

    Timed rows are those of keys that contain a time, plain rows those of other keys.
    Concurrent cleaners are safe: every write is conditional on the revision that was
    read.

    Parameters
    ----------
    table : TableClient
        The table service.
    retention_ms : int
        Retention of claims in milliseconds.
    max_rows : int
        Largest number of timed rows, and of plain rows, that a step handles.
    counts : ClaimCounts
        Counters for the metrics.
    """

    def __init__(self, table, retention_ms, max_rows, counts):
        self._table = table
        self._retention_ms = retention_ms
        self._max_rows = max_rows
        self._counts = counts
        self._plain_cursor = ""
        self._next_plain_pass_ms = 0

    @classmethod
    def from_settings(cls, settings, table, counts):
        """Create a cleaner from the ``claims`` section of the settings."""
        retention_ms = settings.retention_hours * MS_PER_HOUR
        return cls(table, retention_ms, settings.clean_rows, counts)

    async def step(self, now_ms):
        """Remove and compact rows, with at most three scans and two transactions.

        Parameters
        ----------
        now_ms : int
            Present time in milliseconds since the epoch.

        Returns
        -------
        bool
            True if more removable rows may be left.

        Raises
        ------
        PlatformError
            If the table service failed; `step` may be called again.
        """
        has_backlog = await self._remove_timed(now_ms)
        await self._compact_plain(now_ms)
        return has_backlog

    async def _remove_timed(self, now_ms):
        oldest = await self._table.scan(TIMED_PREFIX, limit=1)
        if not oldest or not self._is_removable(oldest[0], now_ms):
            return False
        rows = await self._table.scan(TIMED_PREFIX, limit=self._max_rows)
        removable = [row for row in rows if self._is_removable(row, now_ms)]
        await self._table.transact(
            [], removable, deletes=[row.key for row in removable]
        )
        self._counts.add("removed", len(removable))
        return len(removable) == self._max_rows

    def _is_removable(self, row, now_ms):
        key = row.key.removeprefix(TIMED_PREFIX)
        return is_removable(key, self._retention_ms, now_ms)

    async def _compact_plain(self, now_ms):
        if now_ms < self._next_plain_pass_ms:
            return
        rows = await self._table.scan(PLAIN_PREFIX, self._plain_cursor, self._max_rows)
        is_last_scan = len(rows) < self._max_rows
        self._plain_cursor = "" if is_last_scan else rows[-1].key
        if is_last_scan:
            self._next_plain_pass_ms = now_ms + PLAIN_PASS_PERIOD_MS
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


async def run_cleaner(cleaner, is_cleaner, period_ms):
    """Run a step in each period in which this node is the cleaner.

    Parameters
    ----------
    cleaner : Cleaner
        Cleaner whose steps are run.
    is_cleaner : callable
        Returns whether this node is the cleaner.
    period_ms : int
        Time between steps in milliseconds; divided by ``BACKLOG_SPEEDUP`` while
        removable rows are left.
    """
    has_backlog = False
    while True:
        wait_ms = period_ms / BACKLOG_SPEEDUP if has_backlog else period_ms
        await asyncio.sleep(wait_ms / 1000)
        has_backlog = False
        if not is_cleaner():
            continue
        try:
            has_backlog = await cleaner.step(get_now_ms())
        except PlatformError:
            continue
