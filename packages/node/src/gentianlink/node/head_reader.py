"""Poll the head row, and read later versions from the platform."""

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
# Time for neighbours to deliver a version before its objects are read.
OBJECT_READ_DELAY_MS = 1500
# Shortest poll period of a reader without neighbours.
ISOLATED_POLL_MS = 2000
NON_READER_POLL_FACTOR = 10
MAX_DELTA_READS = 16
MAX_ANCESTOR_STEPS = 16


def is_reader(own, nodes, readers):
    """Return whether this node reads the head for its data centre.

    Parameters
    ----------
    own : NodeRecord
        Record of this node.
    nodes : list of NodeRecord
        Live nodes.
    readers : int
        Number of readers in each data centre.

    Returns
    -------
    bool
        True if this node's rendezvous rank is among the first ``readers``.
    """
    members = [node.node_id for node in nodes if node.data_centre == own.data_centre]
    return own.node_id in get_ranked(RANK_KEY, members)[:readers]


def compute_poll_ms(is_chosen, nodes, poll_ms, rng=random):
    """Return the wait after a successful read of the head.

    Parameters
    ----------
    is_chosen : bool
        Whether this node is a reader by rank.
    nodes : int
        Number of known nodes.
    poll_ms : int
        Poll period of readers in milliseconds.
    rng : random.Random, optional
        Source of randomness.

    Returns
    -------
    float
        Wait in milliseconds, with jitter.
    """
    if is_chosen:
        return poll_ms * rng.uniform(0.8, 1.2)
    period_ms = max(poll_ms * NON_READER_POLL_FACTOR, 1000 * nodes / FLEET_READS_PER_S)
    return period_ms * rng.uniform(0.5, 1.5)


def compute_backoff_ms(failures, is_chosen, is_current, nodes, poll_ms, rng=random):
    """Return the back-off after failed reads of the head, with full jitter.

    The upper bound grows with the number of nodes, so that the fleet sends at most
    ``FLEET_START_READS_PER_S`` reads a second while the nodes can't serve yet, and
    ``FLEET_READS_PER_S`` once they serve.

    Parameters
    ----------
    failures : int
        Number of consecutive failed reads, at least 1.
    is_chosen : bool
        Whether this node is a reader by rank.
    is_current : bool
        Whether this node may serve.
    nodes : int
        Number of known nodes.
    poll_ms : int
        Poll period of readers in milliseconds.
    rng : random.Random, optional
        Source of randomness.

    Returns
    -------
    float
        Wait in milliseconds.
    """
    rate = FLEET_READS_PER_S if is_current else FLEET_START_READS_PER_S
    # The factor of 2 is there because full jitter halves the mean wait.
    bound_ms = max(BACKOFF_MAX_MS, 2 * 1000 * nodes / rate)
    if is_chosen:
        bound_ms = READER_BACKOFF_MAX_MS
    return rng.uniform(0, min(bound_ms, poll_ms * 2 ** min(failures, 16)))


class HeadReader:
    """Polls the head row, more often if this node is a reader by rank.

    Parameters
    ----------
    versions : CatalogueReader
        Reads the head and accepted versions from the platform.
    applied : AppliedCatalogue
        Versions in force and received.
    membership : Membership
        Nodes among which readers are ranked.
    settings : MeshSettings
        Number of readers and their poll period.
    get_neighbour_version : callable
        Returns the latest version of any neighbour; 0 without neighbours.
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
        """Reason why the last read failed; empty if it succeeded."""
        return self._failure

    async def run(self):
        """Poll the head until cancelled."""
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
            poll_ms = max(poll_ms, ISOLATED_POLL_MS)
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
        """Read the head row, and its version if that is later.

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
                await self._catch_up(head, now_ms)
        except (PlatformError, CatalogueError, CodecError) as error:
            self._failures += 1
            self._failure = f"{type(error).__name__}: {error}"
            _LOG.warning("head not read", why=type(error).__name__, detail=str(error))
            return
        self._failure = ""
        is_behind = head.version > self._applied.latest.version
        self._failures = self._failures + 1 if is_behind else 0

    def _may_read_objects(self, head, now_ms):
        if not self._needs_version(head):
            self._behind_since_ms = None
            return False
        if self._behind_since_ms is None:
            self._behind_since_ms = now_ms
        if self._get_neighbour_version() < head.version and self._is_chosen():
            return True
        return now_ms - self._behind_since_ms >= OBJECT_READ_DELAY_MS

    def _needs_version(self, head):
        if head.version > self._applied.latest.version:
            return True
        return not self._applied.is_current

    async def _catch_up(self, head, now_ms):
        gap = head.version - self._applied.latest.version
        if self._applied.latest.version and 0 < gap <= MAX_DELTA_READS:
            await self._catch_up_by_deltas(head, now_ms)
        elif gap > 0:
            await self._catch_up_by_snapshot(head, now_ms)
        await self._fall_back_to_valid_ancestor(head, now_ms)
        _LOG.info("version read from the platform", version=head.version)

    async def _catch_up_by_deltas(self, head, now_ms):
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
            _LOG.warning(
                "deltas not usable, reading the snapshot instead", why=str(error)
            )
            await self._catch_up_by_snapshot(head, now_ms)

    async def _catch_up_by_snapshot(self, head, now_ms):
        data = await self._versions.read_snapshot(head)
        self._applied.apply_snapshot(head.version, head.digest, data, now_ms)

    async def _fall_back_to_valid_ancestor(self, head, now_ms):
        """Apply the latest valid version before a head that was refused."""
        for _ in range(MAX_ANCESTOR_STEPS):
            if head.version <= self._applied.version:
                return
            if head.version not in self._applied.refused:
                await self._catch_up_by_snapshot(head, now_ms)
                continue
            head = await self._versions.read_parent(head)
