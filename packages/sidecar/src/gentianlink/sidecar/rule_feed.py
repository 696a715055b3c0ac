"""Follow the catalogue, either in the operator's table or through a reader."""

import asyncio

from gentianlink.core.errors import (
    HistoryUnavailable,
    PlatformError,
    PlatformOutcomeUnknown,
)
from gentianlink.node.backoff import compute_backoff_s
from gentianlink.node.clock import get_monotonic_ms
from gentianlink.node.log import get_logger
from gentianlink.platform.wire import CATALOGUE_KEY
from gentianlink.sidecar.poll_margin import PollMargin
from gentianlink.sidecar.version_lag import VersionLag

_LOG = get_logger("feed")

# Duration of a long poll of the table. Calls to the platform are billed, so it is long,
# but a call that hangs must be noticed within three seconds, see `PollMargin`.
TABLE_WAIT_MS = 2000
FIRST_BACKOFF_MS = 100
# After an outage the next version must be in force within two seconds.
MAX_BACKOFF_MS = 800
# Pause after a version as a multiple of its transfer time: of a fast series of versions
# only the last is needed, and calls share the link.
PAUSE_FACTOR = 2.0
MAX_PAUSE_S = 0.8
BITS_PER_BYTE = 8
MS_PER_S = 1000
# Size of a row's value in base64, relative to its plain size.
BASE64_RATIO = 4 / 3
# Period of fetching from peers while the table service is unavailable.
PEER_FETCH_PERIOD_MS = 500.0
# Grace period in which the feed should deliver a version that another node has.
FEED_GRACE_MS = 350
# Grace period after which other nodes are told of a version that is missing here; the
# table may leave a whole data centre unanswered.
SPREAD_GRACE_MS = 150
# Delay after the failure of a reader; the next one may be about to take over.
NEXT_READER_DELAY_S = 0.1


class RuleFeed:
    """Follows the catalogue: reads it once, then long-polls for changes.

    Parameters
    ----------
    table : TableClient
        Client of the operator's table.
    holder : RuleHolder
        Puts the versions in force.
    reader_selector : ReaderSelector
        Selects the reader to follow, or the table.
    exchange : PeerExchange
        Fetches versions from other nodes.
    link_mbps : float
        Bandwidth of this node's link in megabits per second.
    on_rows : callable, optional
        Called with the rows that were read from the table and its era.
    """

    def __init__(
        self,
        table,
        holder,
        reader_selector,
        exchange,
        link_mbps,
        on_rows=lambda rows, era: None,
    ):
        self._on_rows = on_rows
        self._link_mbps = link_mbps
        self._table = table
        self._holder = holder
        self._reader_selector = reader_selector
        self._exchange = exchange
        self._revision = None
        self._era = 0
        self._is_reading = False
        self._is_lost = False
        self._attempt = 0
        self._last_peer_fetch_ms = 0.0
        self._lag = VersionLag()
        self._margin = PollMargin()
        self._peer_fetches = 0
        self._call_started_ms = None

    @property
    def peer_fetches(self):
        """Number of attempts to fetch a version because the feed was late."""
        return self._peer_fetches

    @property
    def is_lost(self):
        """Whether this node reads the table and its last call to the table failed."""
        return self._is_lost

    @property
    def is_reading(self):
        """Whether this node reads the table and the table service answers."""
        return self._is_reading and not self._is_lost

    def compute_lag_ms(self, now_ms):
        """Return how long a version that another node has is missing here, or 0."""
        return self._lag.compute_ms(now_ms)

    def compute_call_age_ms(self, now_ms):
        """Return how long the call to the source has been unanswered, or 0."""
        return 0.0 if self._call_started_ms is None else now_ms - self._call_started_ms

    async def run(self):
        """Follow the catalogue until cancelled."""
        while True:
            self._call_started_ms = get_monotonic_ms()
            reader = self._reader_selector.choose(self._call_started_ms)
            pause_s = 0.0
            try:
                if reader is None:
                    pause_s = await self._read_table()
                else:
                    await self._follow(reader)
                self._note_success()
            except HistoryUnavailable as error:
                _LOG.info(
                    "change history unavailable; reading the whole table",
                    why=str(error),
                )
                self._revision = None
            except PlatformError as error:
                await self._note_failure(reader, error)
            self._call_started_ms = None
            await asyncio.sleep(pause_s)

    async def _read_table(self):
        """Read changes of the table; return the seconds to pause after that."""
        if not self._is_reading:
            _LOG.info("reading the table", version=self._holder.version)
        if self._revision is None:
            changes = await self._table.read_all()
        else:
            changes = await self._poll_table()
        self._is_reading = True
        self._revision, self._era = changes.revision, changes.era
        size = 0
        for row in changes.rows:
            if row.key == CATALOGUE_KEY and not row.is_removed:
                size += len(row.value)
                if self._holder.install_version(row.value, "table"):
                    self._exchange.announce_version()
        # Last: whatever other rows hold, a version that came with them is in force.
        self._on_rows(changes.rows, changes.era)
        if size:
            transfer_s = compute_transfer_s(size, self._link_mbps)
            self._margin.note_transfer(transfer_s * MS_PER_S)
        return compute_pause_s(size, self._link_mbps)

    async def _poll_table(self):
        # After a failure the service may have returned from an older copy, which an
        # answer shows; a long poll would delay it.
        wait_ms = 0 if self._is_lost else TABLE_WAIT_MS
        started_ms = get_monotonic_ms()
        try:
            changes = await self._table.wait_for_changes(
                self._revision, self._era, wait_ms, self._margin.compute_ms()
            )
        except PlatformOutcomeUnknown:
            self._margin.note_timeout()
            raise
        if not changes.rows:
            self._margin.note_answer(get_monotonic_ms() - started_ms - wait_ms)
        return changes

    async def _follow(self, reader):
        if self._is_reading:
            _LOG.info("leaving the table to another node", reader=reader.node_id)
        self._is_reading = False
        data = await self._exchange.follow_rules(reader, self._holder.version)
        self._reader_selector.note_served(reader.node_id)
        if data:
            self._install_delta(data, "reader")
        else:
            self._reader_selector.follow_next()

    def _install_delta(self, data, source):
        # The table may not answer the readers of another data centre.
        if self._holder.install_delta(data, source):
            self._exchange.announce_version()

    def _note_success(self):
        if self._is_lost:
            _LOG.info(
                "source of versions available again", after_attempts=self._attempt
            )
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
            self._reader_selector.suspend(reader.node_id, get_monotonic_ms())
            await asyncio.sleep(NEXT_READER_DELAY_S)
            return
        self._is_lost = True
        self._attempt += 1
        await asyncio.sleep(
            compute_backoff_s(self._attempt, FIRST_BACKOFF_MS, MAX_BACKOFF_MS)
        )

    async def run_peers(self, get_newest_version, period_s):
        """Fetch a version from a peer when the feed does not deliver it in time.

        Parameters
        ----------
        get_newest_version : callable
            Returns the newest version that any peer has in force.
        period_s : float
            Period of the checks in seconds.
        """
        while True:
            await asyncio.sleep(period_s)
            now_ms = get_monotonic_ms()
            newest_version = get_newest_version()
            self._lag.update(newest_version, self._holder.version, now_ms)
            if self._lag.compute_ms(now_ms) >= SPREAD_GRACE_MS:
                self._exchange.spread_missing_version(newest_version)
            if self._is_overdue(now_ms):
                await self._fetch_from_peer(newest_version, now_ms)

    async def _fetch_from_peer(self, newest_version, now_ms):
        self._peer_fetches += 1
        _LOG.info(
            "version overdue",
            version=self._holder.version,
            newest=newest_version,
            late_ms=round(self.compute_lag_ms(now_ms)),
            call_age_ms=round(self.compute_call_age_ms(now_ms)),
            is_reading=self._is_reading,
            is_lost=self._is_lost,
        )
        data = await self._exchange.fetch_rules(self._holder.version)
        if data is not None:
            self._install_delta(data, "peer")

    def _is_overdue(self, now_ms):
        if self._is_lost and now_ms - self._last_peer_fetch_ms >= PEER_FETCH_PERIOD_MS:
            self._last_peer_fetch_ms = now_ms
            return True
        is_waiting = self._lag.compute_ms(now_ms) < FEED_GRACE_MS
        return self._lag.is_behind and (
            self._is_lost or self._holder.version == 0 or not is_waiting
        )


def compute_transfer_s(size, link_mbps):
    """Return the time in which a version crosses the link of this node.

    Parameters
    ----------
    size : int
        Size of the version in bytes.
    link_mbps : float
        Bandwidth of the link in megabits per second.

    Returns
    -------
    float
        Time in seconds.
    """
    return size * BASE64_RATIO * BITS_PER_BYTE / (link_mbps * 1e6)


def compute_pause_s(size, link_mbps):
    """Return the pause after reading a version from the table.

    Parameters
    ----------
    size : int
        Size of the version in bytes.
    link_mbps : float
        Bandwidth of the link in megabits per second.

    Returns
    -------
    float
        Pause in seconds, shorter than the time in which a version must be in force.
    """
    return min(MAX_PAUSE_S, PAUSE_FACTOR * compute_transfer_s(size, link_mbps))
