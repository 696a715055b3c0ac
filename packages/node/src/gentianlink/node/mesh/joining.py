"""Discovery: join the mesh and publish the addresses of this node."""

import asyncio
import random

from gentianlink.core.errors import PlatformError
from gentianlink.node.clock import get_monotonic_ms
from gentianlink.node.mesh.dialer import compute_backoff_ms
from gentianlink.store.admin_rows import write_admin_address
from gentianlink.store.node_rows import read_node_addresses, write_node_address

ATTEMPTS_BEFORE_SCAN = 2
MIN_BACKOFF_MS = 50
FIRST_REFRESH_PERIOD_MS = 30 * 1000
REFRESH_PERIOD_MS = 30 * 60 * 1000


class Joining:
    """Discovers neighbours and writes the rows by which other nodes discover this one.

    Seeds are tried first. A node without seeds, or without a link after
    ``ATTEMPTS_BEFORE_SCAN`` attempts, reads the addresses of nodes from the table
    service.

    Parameters
    ----------
    own_record : NodeRecord
        Record of this node.
    mesh : Mesh
        Links of this node.
    topology : Topology
        Opens links to neighbours.
    table : TableClient
        The table service.
    settings : MeshSettings
        Seeds and heartbeat period.
    """

    def __init__(self, own_record, mesh, topology, table, settings):
        self._own_record = own_record
        self._mesh = mesh
        self._topology = topology
        self._table = table
        self._settings = settings

    async def run(self):
        """Keep links to neighbours until cancelled."""
        attempt = 0
        while True:
            addresses = ()
            attempt = 0 if self._mesh.links else attempt + 1
            has_tried_seeds = attempt > ATTEMPTS_BEFORE_SCAN
            if attempt and (has_tried_seeds or not self._settings.seeds):
                addresses = await self._read_addresses()
            self._topology.update(get_monotonic_ms(), addresses)
            wait_ms = self._settings.heartbeat_ms
            if not self._mesh.links:
                wait_ms = MIN_BACKOFF_MS + compute_backoff_ms(attempt)
            await asyncio.sleep(wait_ms / 1000)

    async def _read_addresses(self):
        try:
            return await read_node_addresses(self._table)
        except PlatformError:
            return ()

    async def run_rows(self):
        """Refresh the rows of this node periodically until cancelled.

        Each time the addresses of other nodes are read as well, so that parts of the
        fleet without links to each other are joined.
        """
        attempt = 0
        period_ms = FIRST_REFRESH_PERIOD_MS
        while True:
            try:
                await self._write_rows()
                self._topology.set_discovered_addresses(await self._read_addresses())
                wait_ms = random.uniform(0.5, 1.5) * period_ms
                period_ms = REFRESH_PERIOD_MS
                attempt = 0
            except PlatformError:
                wait_ms = MIN_BACKOFF_MS + compute_backoff_ms(attempt)
                attempt += 1
            await asyncio.sleep(wait_ms / 1000)

    async def _write_rows(self):
        own = self._own_record
        row_args = (self._table, own.data_centre, own.node_id)
        await write_node_address(*row_args, f"{own.address}:{own.mesh_port}")
        await write_admin_address(*row_args, f"{own.address}:{own.admin_port}")
