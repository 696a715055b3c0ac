"""Rows by which nodes find each other, and find their own targets after a restart.

Each node keeps one row with its record. A process that starts reads all rows: so it
knows the other nodes, and the target beside it as the former process knew it, also
after all processes were killed at once. The next heartbeat of a target may be more
than a second away, and a target that has said that it leaves sends no other.
"""

import asyncio

import attrs

from gentianlink.core.errors import CodecError, HistoryUnavailable, PlatformError
from gentianlink.node.log import get_logger
from gentianlink.sidecar.backoff import compute_backoff_s
from gentianlink.sidecar.peer_codec import decode_record, encode_record

_LOG = get_logger("rows")

FIRST_BACKOFF_MS = 400
MAX_BACKOFF_MS = 1500
# Changes within this time are written together.
WRITE_DELAY_S = 0.02


class NodeRows:
    """The rows of nodes: reads all at the start, keeps the own one up to date.

    Parameters
    ----------
    table : TableClient
        Table of the rows.
    get_own : callable
        Returns the record of this node.
    on_found : callable
        Called with each record that was read, the own former one included.
    """

    def __init__(self, table, get_own, on_found):
        self._table = table
        self._get_own = get_own
        self._on_found = on_found
        self._changed = asyncio.Event()
        self._written = None
        self._revision = None
        self._known = asyncio.Event()

    async def wait_until_known(self, timeout_s):
        """Wait until this node and the others that have started know each other.

        Parameters
        ----------
        timeout_s : float
            Longest wait in seconds, for a platform that does not answer.
        """
        try:
            async with asyncio.timeout(timeout_s):
                await self._known.wait()
        except TimeoutError:
            _LOG.warning("other nodes not known in time", waited_s=timeout_s)

    def note_change(self):
        """Write the own row soon, if what it tells has changed."""
        if _get_lasting(self._get_own()) != self._written:
            self._changed.set()

    async def run(self):
        """Read all rows, then write the own row at each change, until cancelled."""
        await self._repeat(self._read, "rows of nodes not read")
        await self._repeat(self._write, "own row not written")
        # Read once more after the write: of two nodes that start at the same moment
        # at least one finds the other.
        await self._repeat(self._read, "rows of nodes not read")
        self._known.set()
        while True:
            await self._changed.wait()
            await asyncio.sleep(WRITE_DELAY_S)
            self._changed.clear()
            if _get_lasting(self._get_own()) != self._written:
                await self._repeat(self._write, "own row not written")

    async def _repeat(self, step, failure):
        attempt = 0
        while True:
            try:
                await step()
                return
            except PlatformError as error:
                attempt += 1
                if attempt == 1:
                    _LOG.warning(failure, why=type(error).__name__, detail=str(error))
            await asyncio.sleep(
                compute_backoff_s(attempt, FIRST_BACKOFF_MS, MAX_BACKOFF_MS)
            )

    async def _read(self):
        changes = await self._read_changes()
        self._revision = changes.revision
        for row in changes.rows:
            if row.is_removed:
                continue
            try:
                self._on_found(decode_record(row.value))
            except CodecError as error:
                _LOG.warning("row of a node not read", key=row.key, why=str(error))
        _LOG.info("rows of nodes read", rows=len(changes.rows))

    async def _read_changes(self):
        if self._revision is None:
            return await self._table.read_all()
        try:
            return await self._table.wait_for_changes(self._revision, 0)
        except HistoryUnavailable:
            return await self._table.read_all()

    async def _write(self):
        own = self._get_own()
        await self._table.transact([(own.node_id, encode_record(own))])
        self._written = _get_lasting(own)


def _get_lasting(record):
    """Return what a record tells beyond the present moment."""
    target = record.target
    if target is not None:
        target = attrs.evolve(
            target, sequence=0, is_reachable=True, cold_until_ms=0, is_failing=False
        )
    return record.incarnation, target
