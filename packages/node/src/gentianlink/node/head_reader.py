"""Read the head row and take in later versions from the platform."""

import asyncio
import random

from gentianlink.core.errors import CatalogueError, CodecError, PlatformError
from gentianlink.node.clock import get_now_ms
from gentianlink.node.log import get_logger
from gentianlink.ops.rank import get_ranked

_LOG = get_logger("reader")

RANK_KEY = "head-readers"
FLEET_READS_PER_S = 50


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
    """Return the wait before the next read of the head.

    Parameters
    ----------
    is_chosen : bool
        Whether this node is a reader by rank.
    nodes : int
        Live nodes known.
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
    period_ms = max(poll_ms * 10, 1000 * nodes / FLEET_READS_PER_S)
    return period_ms * rng.uniform(0.5, 1.5)


class HeadReader:
    """Reads the head row, often if this node's rank says so, else seldom.

    Parameters
    ----------
    store : CatalogueStore
        Accepted versions.
    applied : AppliedCatalogue
        Version in force.
    membership : Membership
        Nodes among which readers are ranked.
    settings : MeshSettings
        Number of readers and their period.
    """

    def __init__(self, store, applied, membership, settings):
        self._store = store
        self._applied = applied
        self._membership = membership
        self._settings = settings
        self._has_read = asyncio.Event()

    @property
    def has_read(self):
        """Whether the head was read and applied since the start."""
        return self._has_read.is_set()

    async def run(self):
        """Read the head again and again until cancelled."""
        while True:
            await self.read_once()
            nodes = self._membership.get_live_nodes()
            own = self._membership.own_record
            is_chosen = is_reader(own, nodes, self._settings.readers)
            if not self.has_read:
                is_chosen = True
            wait_ms = compute_poll_ms(is_chosen, len(nodes), self._settings.poll_ms)
            await asyncio.sleep(wait_ms / 1000)

    async def read_once(self):
        """Read the head and apply its version if it is later."""
        try:
            head, _ = await self._store.read_head()
            if head.version > self._applied.version:
                await self._take_in(head)
            self._has_read.set()
        except (PlatformError, CatalogueError, CodecError) as error:
            _LOG.warning("head not read", why=type(error).__name__, detail=str(error))

    async def _take_in(self, head):
        if head.version == self._applied.version + 1 and self._applied.version:
            delta = await self._store.read_delta(head)
            self._applied.apply_delta(delta, get_now_ms())
        else:
            catalogue = await self._store.read_catalogue(head)
            self._applied.apply_snapshot(catalogue, head.digest, get_now_ms())
        _LOG.info("version read from the platform", version=head.version)
