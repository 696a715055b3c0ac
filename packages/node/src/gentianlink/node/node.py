"""Assemble the components of a node, run them, and stop them gracefully."""

import asyncio
import functools

from gentianlink.core.target_state import TargetState
from gentianlink.node.admin import start_admin_server
from gentianlink.node.applied_catalogue import AppliedCatalogue
from gentianlink.node.background import start_lasting_task
from gentianlink.node.claims.at_most_once import AtMostOnce
from gentianlink.node.claims.claim_counts import ClaimCounts
from gentianlink.node.claims.cleaner import Cleaner, run_cleaner
from gentianlink.node.claims.liveness import make_is_cleaner, make_is_live
from gentianlink.node.clock import get_monotonic_ms, get_now_ms
from gentianlink.node.endpoint_health import EndpointHealth
from gentianlink.node.head_reader import HeadReader
from gentianlink.node.listen_failure import report_listen_failure
from gentianlink.node.live_view import LiveView
from gentianlink.node.log import get_logger
from gentianlink.node.membership import Membership
from gentianlink.node.mesh.convergence_service import ConvergenceService
from gentianlink.node.mesh.failure_detector import FailureDetector
from gentianlink.node.mesh.joining import Joining
from gentianlink.node.mesh.mesh import Mesh
from gentianlink.node.mesh.monitor import TICK_MS, Monitor
from gentianlink.node.mesh.server import start_mesh_server
from gentianlink.node.mesh.topology import Topology
from gentianlink.node.metrics import NodeMetrics
from gentianlink.node.node_status import NodeStatus
from gentianlink.node.own_record import make_own_record
from gentianlink.node.periodic import run_periodically
from gentianlink.node.proxy.connection_pool import ConnectionPool
from gentianlink.node.proxy.dispatcher import Dispatcher
from gentianlink.node.proxy.load_view import LoadView
from gentianlink.node.proxy.local_targets import LocalTargets
from gentianlink.node.proxy.router import Router
from gentianlink.node.proxy.server import CallServer
from gentianlink.node.report_collector import ReportCollector
from gentianlink.node.table_builder import TableBuilder
from gentianlink.ops.explain import explain_call
from gentianlink.platform.object_client import ObjectClient
from gentianlink.platform.table_client import TableClient
from gentianlink.store.catalogue_reader import CatalogueReader

_LOG = get_logger("node")

EJECTION_DESCRIPTION = "avoided after failed calls of this node"
SWEEP_PERIOD_S = 0.2
FETCH_CHECK_PERIOD_S = 0.1
TABLE_BUILD_DELAY_MS = 20


class Node:
    """The node process.

    Parameters
    ----------
    settings : Settings
        Checked settings.
    reload_settings : callable
        Reloads the settings and returns a :class:`ReloadReport`.
    """

    def __init__(self, settings, reload_settings):
        self._settings = settings
        self.reload_settings = reload_settings
        self._is_draining = False
        self._is_stopping = False
        self._is_build_scheduled = False
        self._tasks = []
        own_record = make_own_record(settings, get_now_ms())
        self._platform_table = TableClient.from_settings(settings.platform)
        self._platform_objects = ObjectClient.from_settings(settings.platform)
        versions = CatalogueReader(self._platform_table, self._platform_objects)
        self._applied = AppliedCatalogue(self._on_applied, self._on_held)
        self._membership = Membership(
            own_record, self._on_records_changed, settings.mesh.dead_after_ms
        )
        self._table_builder = TableBuilder(self._membership)
        self._mesh = Mesh(self._applied, self._membership, settings.mesh)
        self._detector = FailureDetector(self._membership, self._mesh)
        self._mesh.set_on_link_lost(self._examine)
        self._topology = Topology(
            self._mesh, self._membership, settings.mesh, self._examine
        )
        self._joining = Joining(
            own_record,
            self._mesh,
            self._topology,
            self._platform_table,
            settings.mesh,
        )
        self._monitor = Monitor(
            self._membership, self._mesh, settings.mesh, self._schedule_build
        )
        self._live_view = LiveView(self._membership)
        self._collector = ReportCollector(self._live_view)
        self._convergence = ConvergenceService(
            self._live_view,
            own_record,
            self._applied,
            self._collector,
            self._mesh.control_bytes,
        )
        self._reader = HeadReader(
            versions,
            self._applied,
            self._membership,
            settings.mesh,
            lambda: self._mesh.latest_version,
            lambda: bool(self._mesh.links),
        )
        self._local_targets = LocalTargets(
            self._membership, settings.calls.target_lease_ms
        )
        self._pool = ConnectionPool.from_settings(settings.calls)
        self._claim_counts = ClaimCounts()
        self._claims = AtMostOnce.from_settings(
            settings.claims,
            own_record,
            self._platform_table,
            self._claim_counts,
            make_is_live(self._membership),
        )
        dispatcher = Dispatcher(
            self._local_targets,
            self._pool,
            self._claims,
            settings.calls.silence_timeout_ms,
        )
        self._load = LoadView()
        self._health = EndpointHealth()
        self._router = Router(
            own_record,
            dispatcher,
            self._pool,
            self._load,
            self._health,
            settings.calls.silence_timeout_ms,
        )
        self._calls = CallServer(
            self._router, dispatcher, self.get_table, self.is_serving
        )
        self._metrics = NodeMetrics()

    @classmethod
    def from_settings(cls, settings, reload_settings):
        """Return a node for checked settings."""
        return cls(settings, reload_settings)

    @property
    def applied(self):
        """Catalogue version in force."""
        return self._applied

    @property
    def local_targets(self):
        """Local targets of this node."""
        return self._local_targets

    @property
    def is_draining(self):
        """Whether this node has been asked to stop."""
        return self._is_draining

    def get_table(self):
        """Return the current routing table."""
        return self._table_builder.table

    def is_ready(self):
        """Return whether callers should send new calls to this node."""
        return self.is_serving() and not self._is_draining

    def is_serving(self):
        """Return whether this node serves the calls that it receives."""
        return self._applied.is_current and not self._is_stopping

    def get_status(self):
        """Return the status of this node."""
        own = self._membership.own_record
        return NodeStatus(
            node_id=own.node_id,
            data_centre=own.data_centre,
            ready=self.is_ready(),
            version=self._applied.version,
            digest=self._applied.digest,
            applied_ms=self._applied.applied_ms,
            platform_failure=self._reader.failure,
            latest_version=self._applied.latest.version,
            refused=self._applied.refused,
            control_bytes=self._mesh.control_bytes.totals,
            accepted_ms=self._applied.accepted_ms,
            complete_version=self._collector.complete_version,
            complete_ms=self._collector.complete_ms,
            links=tuple(sorted(self._mesh.links)),
            nodes=len(self._membership.get_live_nodes()),
            endpoints={
                prefix: len(route.endpoints)
                for prefix, route in self.get_table().routes.items()
            },
            in_flight=self._calls.in_flight,
            outcomes={
                outcome.value: count for outcome, count in self._calls.outcomes.items()
            },
            calls_by_class=self._calls.counts.by_class,
            refusals=self._calls.counts.refusals,
            retries=self._router.retries,
            targets=self._local_targets.get_loads(),
            records=self._membership.buckets.count,
            records_digest=f"{self._membership.digest:016x}",
            table_builds=self._table_builder.builds,
            platform_reads=self._platform_table.reads + self._platform_objects.reads,
            platform_writes=self._platform_table.writes,
            claims=self._claim_counts.get_all(),
            claims_pending=self._claims.pending,
            platform_bytes=self._platform_table.transferred_bytes
            + self._platform_objects.transferred_bytes,
        )

    async def compute_convergence(self, version):
        """Return on which live nodes a version is in force."""
        return await self._convergence.compute(version)

    def get_nodes(self):
        """Return the records of all known nodes."""
        return list(self._membership.nodes.values())

    def explain(self, path):
        """Return how this node would route a call.

        Parameters
        ----------
        path : str
            Path of the call without its query.

        Returns
        -------
        Explanation
            Entry, limits and endpoints, with reasons.
        """
        return explain_call(
            path,
            self.get_table(),
            self._membership.own_record,
            self._membership.nodes,
            self._membership.targets.values(),
            self._get_load,
            self._describe_ejection,
        )

    def _get_load(self, endpoint):
        return self._load.get_load(endpoint, get_monotonic_ms())

    def _describe_ejection(self, target_id):
        is_ejected = self._health.is_ejected(target_id, get_monotonic_ms())
        return EJECTION_DESCRIPTION if is_ejected else ""

    def update_metrics(self):
        """Update the metrics from the status."""
        self._metrics.update(self.get_status())

    def _on_applied(self):
        self._build_table()
        self._convergence.notify()
        _LOG.info("version in force", version=self._applied.version)

    def _on_held(self):
        self._convergence.notify()
        self._mesh.spread_version()

    def _on_records_changed(self, nodes, targets, source):
        for record in targets:
            if record.state is TargetState.READY:
                self._health.forget(record.target_id)
        self._schedule_build()
        self._mesh.spread_records(nodes, targets, source)

    def _schedule_build(self):
        if not self._is_build_scheduled:
            self._is_build_scheduled = True
            loop = asyncio.get_running_loop()
            loop.call_later(TABLE_BUILD_DELAY_MS / 1000, self._build_table)

    def _build_table(self):
        self._is_build_scheduled = False
        self._table_builder.build(self._applied.catalogue)

    def _examine(self, node_id):
        self._detector.examine(node_id, get_monotonic_ms())

    async def run(self, stop_requested):
        """Run until asked to stop, then drain and stop without aborting a call.

        Parameters
        ----------
        stop_requested : asyncio.Event
            Set when the node should stop.
        """
        mesh_server = await self._start_servers()
        for name, make_work in self._list_tasks().items():
            self._tasks.append(start_lasting_task(make_work, name))
        _LOG.info("node started", node=self._settings.node.id)
        await stop_requested.wait()
        await self._stop(mesh_server)

    def _list_tasks(self):
        """Return what runs until the process ends, by name."""
        request_version = self._mesh.request_later_version
        return {
            "head reader": self._reader.run,
            "joining": self._joining.run,
            "node rows": self._joining.run_rows,
            "convergence": self._convergence.run,
            "monitor": functools.partial(
                run_periodically, self._tick_monitor, TICK_MS / 1000
            ),
            "later versions": functools.partial(
                run_periodically, request_version, FETCH_CHECK_PERIOD_S
            ),
            "sweep": functools.partial(run_periodically, self._sweep, SWEEP_PERIOD_S),
            "cleaner": self._run_cleaner,
        }

    async def _start_servers(self):
        listen = self._settings.listen
        with report_listen_failure("admin_port", listen):
            start_admin_server(self, listen.address, listen.admin_port)
        with report_listen_failure("call_port", listen):
            self._calls.listen(listen.address, listen.call_port)
        # Last: its tasks would be left running if another server failed to start.
        with report_listen_failure("mesh_port", listen):
            return await start_mesh_server(
                self._mesh, self._collector, listen.address, listen.mesh_port
            )

    async def _stop(self, mesh_server):
        _LOG.info("node stopping", in_flight=self._calls.in_flight)
        self._is_draining = True
        self._local_targets.drain_all(get_monotonic_ms())
        await asyncio.sleep(self._settings.mesh.heartbeat_ms / 1000)
        self._is_stopping = True
        self._calls.stop_listening()
        self._calls.refuse_arriving()
        await self._calls.wait_idle()
        self._calls.close()
        await self._claims.wait_idle()
        for task in self._tasks:
            task.cancel()
        self._membership.leave(get_monotonic_ms())
        self._mesh.flush_records()
        self._mesh.close()
        self._topology.close()
        self._convergence.close()
        self._pool.close()
        await mesh_server.stop(0.1)
        _LOG.info("node stopped")

    def _sweep(self):
        now_ms = get_monotonic_ms()
        self._local_targets.expire(now_ms)
        self._pool.sweep(now_ms)
        self._calls.sweep(now_ms)

    def _tick_monitor(self):
        self._monitor.tick(get_monotonic_ms())

    async def _run_cleaner(self):
        settings = self._settings.claims
        cleaner = Cleaner.from_settings(
            settings, self._platform_table, self._claim_counts
        )
        is_cleaner = make_is_cleaner(self._membership)
        await run_cleaner(cleaner, is_cleaner, settings.clean_period_ms)
