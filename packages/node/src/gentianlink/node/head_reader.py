"""Read the head row and take in later versions from the platform."""

import asyncio
import random

from gentianlink.core.errors import (
    CatalogueError,
    CodecError,
    ObjectNotFound,
    PlatformError,
)
from gentianlink.core.head import Head
from gentianlink.node.clock import get_now_ms
from gentianlink.node.log import get_logger
from gentianlink.ops.rank import get_ranked

_LOG = get_logger("reader")

RANK_KEY = "head-readers"
FLEET_READS_PER_S = 50
FLEET_START_READS_PER_S = 500
READER_BACKOFF_MAX_MS = 1000
BACKOFF_MAX_MS = 3000
PEERS_FIRST_MS = 1500
ALONE_POLL_MS = 2000
SELDOM_FACTOR = 10
MAX_DELTA_READS = 16
MAX_STEPS_BACK = 16


def is_reader(own, nodes, readers):
    """Return whether this node reads the head for its data centre.

    Parameters
    ----------
    own : NodeRecord
        Record of this node.
    nodes : list of NodeRecord
        Live nodes.
    readers : int
        Readers of each data centre.

    Returns
    -------
    bool
        True if this node's rendezvous rank is among the first.
    """
    members = [node.node_id for node in nodes if node.data_centre == own.data_centre]
    return own.node_id in get_ranked(RANK_KEY, members)[:readers]


def compute_poll_ms(is_chosen, nodes, poll_ms, rng=random):
    """Return the wait before the next read of the head after a good one.

    Parameters
    ----------
    is_chosen : bool
        Whether this node is a reader by rank.
    nodes : int
        Nodes known.
    poll_ms : int
        Period of the readers in milliseconds.
    rng : random.Random, optional
        Source of randomness.

    Returns
    -------
    float
        Wait in milliseconds, with jitter.
    """
    if is_chosen:
        return poll_ms * rng.uniform(0.8, 1.2)
    period_ms = max(poll_ms * SELDOM_FACTOR, 1000 * nodes / FLEET_READS_PER_S)
    return period_ms * rng.uniform(0.5, 1.5)


def compute_backoff_ms(failures, is_chosen, is_current, nodes, poll_ms, rng=random):
    """Return the wait after a read that failed, with full jitter.

    The bound grows with the fleet, so that all nodes together ask at most
    ``FLEET_START_READS_PER_S`` times a second, and ``FLEET_READS_PER_S`` times
    when they serve already.

    Parameters
    ----------
    failures : int
        Reads in a row that failed, at least 1.
    is_chosen : bool
        Whether this node is a reader by rank.
    is_current : bool
        Whether this node may serve.
    nodes : int
        Nodes known.
    poll_ms : int
        Period of the readers in milliseconds.
    rng : random.Random, optional
        Source of randomness.

    Returns
    -------
    float
        Wait in milliseconds.
    """
    rate = FLEET_READS_PER_S if is_current else FLEET_START_READS_PER_S
    # Full jitter halves the mean wait, hence the factor.
    bound_ms = max(BACKOFF_MAX_MS, 2 * 1000 * nodes / rate)
    if is_chosen:
        bound_ms = READER_BACKOFF_MAX_MS
    return rng.uniform(0, min(bound_ms, poll_ms * 2 ** min(failures, 16)))


class HeadReader:
    """Reads the head row, often if this node's rank says so, else seldom.

    Parameters
    ----------
    versions : CatalogueReader
        Accepted versions.
    applied : AppliedCatalogue
        Versions in force and held.
    membership : Membership
        Nodes among which readers are ranked.
    settings : MeshSettings
        Number of readers and their period.
    get_neighbour_version : callable
        Returns the latest version that a neighbour holds; 0 without neighbours.
    has_neighbours : callable
        Returns whether this node has links.
    rng : random.Random, optional
        Source of randomness.
    """

    def __init__(
        self,
        versions,
        applied,
        membership,
        settings,
        get_neighbour_version,
        has_neighbours,
        rng=random,
    ):
        self._versions = versions
        self._applied = applied
        self._membership = membership
        self._settings = settings
        self._get_neighbour_version = get_neighbour_version
        self._has_neighbours = has_neighbours
        self._rng = rng
        self._ranked_changes = None
        self._was_chosen = False
        self._failures = 0
        self._failure = ""
        self._behind_since_ms = None

    @property
    def failure(self):
        """Why the last read failed; empty if it did not."""
        return self._failure

    async def run(self):
        """Read the head again and again until cancelled."""
        while True:
            await self.read_once(get_now_ms())
            await asyncio.sleep(self.compute_wait_ms() / 1000)

    def compute_wait_ms(self):
        """Return the wait in milliseconds before the next read."""
        nodes = len(self._membership.nodes)
        is_chosen = self._is_chosen()
        if self._failures:
            return compute_backoff_ms(
                self._failures,
                is_chosen and self._has_neighbours(),
                self._applied.is_current,
                nodes,
                self._settings.poll_ms,
                self._rng,
            )
        poll_ms = self._settings.poll_ms
        if is_chosen and not self._has_neighbours():
            poll_ms = max(poll_ms, ALONE_POLL_MS)
        return compute_poll_ms(is_chosen, nodes, poll_ms, self._rng)

    def _is_chosen(self):
        changes = self._membership.view_changes
        if changes != self._ranked_changes:
            self._ranked_changes = changes
            own = self._membership.own_record
            nodes = self._membership.get_live_nodes()
            self._was_chosen = is_reader(own, nodes, self._settings.readers)
        return self._was_chosen

    async def read_once(self, now_ms):
        """Read the head and take in its version if it is later.

        Parameters
        ----------
        now_ms : int
            Present time in milliseconds since the epoch.
        """
        try:
            head, _ = await self._versions.read_head()
            self._applied.set_required_version(head.version)
            self._applied.note_accepted(head.version, head.when_ms)
            if self._may_read_objects(head, now_ms):
                await self._take_in(head, now_ms)
        except (PlatformError, CatalogueError, CodecError) as error:
            self._failures += 1
            self._failure = f"{type(error).__name__}: {error}"
            _LOG.warning("head not read", why=type(error).__name__, detail=str(error))
            return
        self._failure = ""
        is_behind = head.version > self._applied.latest.version
        self._failures = self._failures + 1 if is_behind else 0

    def _may_read_objects(self, head, now_ms):
        if not self._lacks(head):
            self._behind_since_ms = None
            return False
        if self._behind_since_ms is None:
            self._behind_since_ms = now_ms
        if self._get_neighbour_version() < head.version and self._is_chosen():
            return True
        return now_ms - self._behind_since_ms >= PEERS_FIRST_MS

    def _lacks(self, head):
        if head.version > self._applied.latest.version:
            return True
        return not self._applied.is_current

    async def _take_in(self, head, now_ms):
        gap = head.version - self._applied.latest.version
        if self._applied.latest.version and 0 < gap <= MAX_DELTA_READS:
            await self._take_in_deltas(head, now_ms)
        elif gap > 0:
            await self._take_in_snapshot(head, now_ms)
        await self._step_back(head, now_ms)
        _LOG.info("version read from the platform", version=head.version)

    async def _take_in_deltas(self, head, now_ms):
        first = self._applied.latest.version + 1
        versions = range(first, head.version)
        try:
            changes = await asyncio.gather(*map(self._versions.read_change, versions))
            heads = [Head(item.version, item.digest) for item in changes if item]
            deltas = await asyncio.gather(
                *map(self._versions.read_delta, [*heads, head])
            )
            self._applied.apply_deltas(deltas, now_ms)
        except (CatalogueError, CodecError, ObjectNotFound) as error:
            _LOG.warning("deltas do not fit", why=str(error))
            await self._take_in_snapshot(head, now_ms)

    async def _take_in_snapshot(self, head, now_ms):
        data = await self._versions.read_snapshot(head)
        self._applied.apply_snapshot(head.version, head.digest, data, now_ms)

    async def _step_back(self, head, now_ms):
        """Take in the latest good version before a head that was refused."""
        for _ in range(MAX_STEPS_BACK):
            if head.version <= self._applied.version:
                return
            if head.version not in self._applied.refused:
                await self._take_in_snapshot(head, now_ms)
                continue
            head = await self._versions.read_parent(head)
