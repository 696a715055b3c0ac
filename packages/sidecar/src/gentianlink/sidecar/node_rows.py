"""Node discovery through rows in the table service.

Each node stores its record in one row. A starting process reads all rows to find the
other nodes and to restore the state of its own target, which the previous process
wrote; this works even if all processes were killed at once. Waiting for the target's
next heartbeat is no substitute: it may be more than a second away, and a target that
has announced that it leaves sends none.
"""

import asyncio
import random

import attrs

from gentianlink.core.errors import CodecError, HistoryUnavailable, PlatformError
from gentianlink.node.backoff import compute_backoff_s
from gentianlink.node.clock import get_now_ms
from gentianlink.node.log import get_logger
from gentianlink.sidecar.exchange.peer_codec import decode_record, encode_record
from gentianlink.sidecar.peer_record import check_starts
from gentianlink.sidecar.poll_margin import MAX_MARGIN_MS
from gentianlink.sidecar.quarantine_codec import KEY_PREFIX

_LOG = get_logger("rows")

FIRST_BACKOFF_MS = 400
MAX_BACKOFF_MS = 1500
# Changes within this time are combined into one write.
WRITE_DELAY_S = 0.02
# Rows of quarantined requests in one write; the rest follows with the next one.
MAX_QUARANTINE_ROWS = 50
# Mean period of the checks whether the table service has returned from an older copy,
# which may lack this node's row.
CHECK_PERIOD_S = 20.0


class NodeRows:
    """Reads the rows of all nodes at the start and keeps this node's row up to date.

    Parameters
    ----------
    table : TableClient
        Client of the table that holds the rows.
    get_own_record : callable
        Returns the record of this node.
    on_record : callable
        Called with each record that is read, including the one that an earlier process
        of this node wrote.
    quarantine_rows : QuarantineRows
        The rows of quarantined requests, which are in the same table.
    """

    def __init__(self, table, get_own_record, on_record, quarantine_rows):
        self._table = table
        self._get_own_record = get_own_record
        self._on_record = on_record
        self._quarantine_rows = quarantine_rows
        self._changed = asyncio.Event()
        self._written_state = None
        self._revision = None
        self._era = 0
        self._loaded = asyncio.Event()

    @property
    def is_loaded(self):
        """Whether the rows of the nodes that have started are read."""
        return self._loaded.is_set()

    @property
    def is_stored(self):
        """Whether this node's row holds its present persistent state."""
        return _get_persistent_state(self._get_own_record()) == self._written_state

    async def wait_until_loaded(self, timeout_s):
        """Wait until the rows of the nodes that have started are read.

        This node's row is written by then, so that the other nodes find it as well.

        Parameters
        ----------
        timeout_s : float
            Longest wait in seconds; it ends the wait if the platform does not answer.
        """
        try:
            async with asyncio.timeout(timeout_s):
                await self._loaded.wait()
        except TimeoutError:
            _LOG.warning("node rows not read in time", waited_s=timeout_s)

    def note_change(self):
        """Write this node's row soon if its persistent state has changed."""
        if not self.is_stored:
            self._changed.set()

    def store_quarantined(self, request):
        """Write the row of a quarantined request soon."""
        self._quarantine_rows.put(request)
        self._changed.set()

    def remove_quarantined(self, request):
        """Remove the row of a request that is no longer quarantined soon."""
        self._quarantine_rows.remove(request)
        self._changed.set()

    async def run(self):
        """Read all rows, then keep this node's row up to date, until cancelled."""
        await self._retry(self._read, "reading node rows failed")
        await self._retry(self._write, "writing this node's row failed")
        # The second read follows the write, so that of two nodes that start at the same
        # moment at least one sees the row of the other.
        await self._retry(self._read, "reading node rows failed")
        self._loaded.set()
        while True:
            if await self._wait_for_change():
                await asyncio.sleep(WRITE_DELAY_S)
                self._changed.clear()
            else:
                await self._check_era()
            rows = self._quarantine_rows
            if not self.is_stored or rows.due or rows.superseded:
                await self._retry(self._write, "writing this node's row failed")

    async def _wait_for_change(self):
        """Return whether this node's row may have changed before the next check."""
        try:
            async with asyncio.timeout(CHECK_PERIOD_S * random.uniform(0.5, 1.5)):
                await self._changed.wait()
        except TimeoutError:
            return False
        return True

    async def _check_era(self):
        era = self._era
        await self._retry(self._read, "reading node rows failed")
        if self._era != era:
            _LOG.warning("table service restored", era=self._era, before=era)
            self._written_state = None
            self._quarantine_rows.note_restored()

    async def _retry(self, operation, event):
        attempt = 0
        while True:
            try:
                await operation()
                return
            except PlatformError as error:
                attempt += 1
                if attempt == 1:
                    _LOG.warning(event, why=type(error).__name__, detail=str(error))
            await asyncio.sleep(
                compute_backoff_s(attempt, FIRST_BACKOFF_MS, MAX_BACKOFF_MS)
            )

    async def _read(self):
        changes, is_complete = await self._read_changes()
        is_complete = is_complete and changes.era == self._era
        self._revision, self._era = changes.revision, changes.era
        quarantine_rows = [r for r in changes.rows if r.key.startswith(KEY_PREFIX)]
        self._quarantine_rows.note_read(quarantine_rows, is_complete)
        for row in changes.rows:
            if row.is_removed or row.key.startswith(KEY_PREFIX):
                continue
            try:
                record = decode_record(row.value)
                _check_owner(record, row.key, get_now_ms())
            except CodecError as error:
                _LOG.warning("node row unreadable", key=row.key, why=str(error))
                continue
            self._on_record(record)
        _LOG.info("node rows read", rows=len(changes.rows))

    async def _read_changes(self):
        """Return the changed rows, and whether they are all rows."""
        if self._revision is not None:
            try:
                changes = await self._table.wait_for_changes(
                    self._revision, self._era, 0, MAX_MARGIN_MS
                )
            except HistoryUnavailable:
                pass
            else:
                return changes, False
        return await self._table.read_all(), True

    async def _write(self):
        own = self._get_own_record()
        due = self._quarantine_rows.due[:MAX_QUARANTINE_ROWS]
        superseded = self._quarantine_rows.superseded[:MAX_QUARANTINE_ROWS]
        await self._table.transact(
            [(own.node_id, encode_record(own)), *due], deletes=superseded
        )
        self._quarantine_rows.note_written(due, superseded)
        self._written_state = _get_persistent_state(own)


def _check_owner(record, key, wall_ms):
    """Raise a CodecError if a record can't be what the node of its row has written."""
    if record.node_id != key:
        raise CodecError(f"record of {record.node_id}")
    check_starts(record, wall_ms)


def _get_persistent_state(record):
    """Return what of a record is stored, without transient fields."""
    target = record.target
    if target is not None:
        target = attrs.evolve(
            target,
            sequence=0,
            is_reachable=True,
            cold_until_ms=0,
            is_failing=False,
            work_ms=(),
        )
    return record.incarnation, target, record.crashes
