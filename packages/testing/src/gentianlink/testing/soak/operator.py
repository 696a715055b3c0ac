"""Operators that change the catalogue periodically."""

import asyncio

import attrs

from gentianlink.core.errors import PlatformError
from gentianlink.node.clock import get_now_ms
from gentianlink.parser.catalogue_file import parse_catalogue
from gentianlink.platform.object_client import ObjectClient
from gentianlink.platform.table_client import TableClient
from gentianlink.store.catalogue_store import CatalogueStore
from gentianlink.store.change_request import ChangeRequest

TIMEOUT_MS = 3000
PERIOD_S = 2.0
DEADLINES_MS = range(900, 3000)


class Operator:
    """Changes the deadline of an entry in a deployment's catalogue.

    Parameters
    ----------
    name : str
        Name for the audit trail.
    fleet : Fleet
        Processes of the deployment.
    text : str
        Text of the catalogue file of the deployment.
    rng : random.Random
        Source of randomness.
    """

    def __init__(self, name, fleet, text, rng):
        self._name = name
        self._rng = rng
        self._catalogue, _ = parse_catalogue(text, name)
        table = TableClient(f"{fleet.platform_url}/table", TIMEOUT_MS)
        objects = ObjectClient(f"{fleet.platform_url}/objects", TIMEOUT_MS)
        self._store = CatalogueStore(table, objects)
        self._count = 0
        self.accepted = []

    async def run(self, until_ms):
        """Make changes until a point in time.

        Parameters
        ----------
        until_ms : int
            End in milliseconds since the epoch.
        """
        while get_now_ms() < until_ms:
            await self.change_once()
            await asyncio.sleep(PERIOD_S * self._rng.uniform(0.5, 1.5))

    async def change_once(self):
        """Try one change; don't retry after a refusal or an unknown outcome."""
        self._count += 1
        entries = list(self._catalogue.entries)
        position = self._rng.randrange(len(entries))
        limits = attrs.evolve(
            entries[position].limits, deadline_ms=self._rng.choice(DEADLINES_MS)
        )
        entries[position] = attrs.evolve(entries[position], limits=limits)
        proposed = attrs.evolve(self._catalogue, entries=tuple(entries))
        request = ChangeRequest(f"{self._name}-{self._count}", self._name, "soak")
        try:
            base = await self._store.read_head()
            change = await self._store.accept(proposed, base, request, get_now_ms())
        except PlatformError:
            return
        self.accepted.append(change)

    async def read_changes(self):
        """Return the audit trail.

        Returns
        -------
        list of Change
            All accepted changes in their order.
        """
        head, _ = await self._store.read_head()
        versions = range(1, head.version + 1)
        return [await self._store.read_change(version) for version in versions]
