"""Follow the versions of the catalogue, in the operator's table or at another node."""

import asyncio

from gentianlink.core.errors import HistoryUnavailable, PlatformError
from gentianlink.node.clock import get_monotonic_ms
from gentianlink.node.log import get_logger
from gentianlink.platform.wire import CATALOGUE_KEY
from gentianlink.sidecar.backoff import compute_backoff_s

_LOG = get_logger("feed")

# Calls to the platform have a price; one that hangs has to be noticed before the next
# version is due, within two seconds.
TABLE_WAIT_MS = 2000
FIRST_BACKOFF_MS = 100
# The next version has to be in force within two seconds after an outage.
MAX_BACKOFF_MS = 800
# After a version, the table is left alone for so many times as long as its transfer
# took: of a fast series of versions only the last is needed, and calls share the link.
PAUSE_SHARE = 2.0
MAX_PAUSE_S = 0.8
BITS_PER_BYTE = 8
# Values of rows are written in base64.
ENCODED_SHARE = 4 / 3
# While the table service is lost, a peer is asked for a newer version this often.
ASK_PERIOD_MS = 500.0
# Time for the feed to bring a version that another node has already.
FEED_LEAD_MS = 350
# Between two readers that do not serve: the next one may be about to take over.
NEXT_READER_S = 0.1


class RuleFeed:
    """Follows the catalogue: reads it once and then waits for its changes.

    Parameters
    ----------
    table : TableClient
        The table that operators write.
    holder : RuleHolder
        Takes the versions.
    readers : Readers
        Chooses between the table and a node that reads it.
    exchange : PeerExchange
        Asks other nodes for versions.
    link_mbps : float
        Speed of this node's link in megabits a second.
    """

    def __init__(self, table, holder, readers, exchange, link_mbps):
        self._link_mbps = link_mbps
        self._table = table
        self._holder = holder
        self._readers = readers
        self._exchange = exchange
        self._revision = None
        self._is_reading = False
        self._is_lost = False
        self._attempt = 0
        self._known_version = 0
        self._known_since_ms = 0.0
        self._asked_ms = 0.0

    @property
    def is_lost(self):
        """Whether this node reads the table and its last call to it failed."""
        return self._is_lost

    @property
    def is_reading(self):
        """Whether this node reads the table and the table service answers."""
        return self._is_reading and not self._is_lost

    async def run(self):
        """Follow the catalogue until cancelled."""
        while True:
            reader = self._readers.choose(get_monotonic_ms())
            pause_s = 0.0
            try:
                if reader is None:
                    pause_s = await self._read_table()
                else:
                    await self._follow(reader)
                self._note_answer()
            except HistoryUnavailable:
                _LOG.info("history lost; reading the table again")
                self._revision = None
            except PlatformError as error:
                await self._note_failure(reader, error)
            await asyncio.sleep(pause_s)

    async def _read_table(self):
        """Take in a change of the table; return how long to leave it alone then."""
        if not self._is_reading:
            _LOG.info("reading the table", version=self._holder.version)
        if self._revision is None:
            changes = await self._table.read_all()
        else:
            changes = await self._table.wait_for_changes(self._revision, TABLE_WAIT_MS)
        self._is_reading = True
        self._revision = changes.revision
        size = 0
        for row in changes.rows:
            if row.key == CATALOGUE_KEY and not row.is_removed:
                size += len(row.value)
                self._holder.take(row.value, "table")
        return compute_pause_s(size, self._link_mbps)

    async def _follow(self, reader):
        if self._is_reading:
            _LOG.info("leaving the table to another node", reader=reader.node_id)
        self._is_reading = False
        data = await self._exchange.follow_rules(reader, self._holder.version)
        self._readers.note_served(reader.node_id)
        if data:
            self._holder.take_change(data, "reader")

    def _note_answer(self):
        if self._is_lost:
            _LOG.info("versions can be followed again", after_attempts=self._attempt)
        self._is_lost = False
        self._attempt = 0

    async def _note_failure(self, reader, error):
        source = "table" if reader is None else reader.node_id
        if not self._is_lost:
            _LOG.warning(
                "source of versions lost",
                source=source,
                why=type(error).__name__,
                detail=str(error),
            )
        if reader is not None:
            self._readers.suspend(reader.node_id, get_monotonic_ms())
            await asyncio.sleep(NEXT_READER_S)
            return
        self._is_lost = True
        self._attempt += 1
        await asyncio.sleep(
            compute_backoff_s(self._attempt, FIRST_BACKOFF_MS, MAX_BACKOFF_MS)
        )

    async def run_peers(self, get_newest_version, period_s):
        """Take a version from a peer when the feed does not bring it in time.

        Parameters
        ----------
        get_newest_version : callable
            Returns the newest version that a peer has in force.
        period_s : float
            Time between two checks in seconds.
        """
        while True:
            await asyncio.sleep(period_s)
            if self._is_overdue(get_newest_version(), get_monotonic_ms()):
                data = await self._exchange.fetch_rules(self._holder.version)
                if data is not None:
                    self._holder.take_change(data, "peer")

    def _is_overdue(self, version, now_ms):
        if self._is_lost and now_ms - self._asked_ms >= ASK_PERIOD_MS:
            self._asked_ms = now_ms
            return True
        if version <= self._holder.version:
            return False
        if version != self._known_version:
            self._known_version = version
            self._known_since_ms = now_ms
        is_waiting = now_ms - self._known_since_ms < FEED_LEAD_MS
        return self._is_lost or self._holder.version == 0 or not is_waiting


def compute_pause_s(size, link_mbps):
    """Return how long the table is left alone after a version.

    Parameters
    ----------
    size : int
        Size of the version in bytes.
    link_mbps : float
        Speed of the link in megabits a second.

    Returns
    -------
    float
        Time in seconds, less than the time in which a version has to be in force.
    """
    transfer_s = size * ENCODED_SHARE * BITS_PER_BYTE / (link_mbps * 1e6)
    return min(MAX_PAUSE_S, PAUSE_SHARE * transfer_s)
