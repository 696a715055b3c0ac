"""Assembly, start and graceful shutdown of the sidecar process."""

import asyncio
import functools

from gentianlink.core.reason import Reason
from gentianlink.core.target_state import TargetState
from gentianlink.node.background import (
    make_exception_handler,
    run_step,
    start_lasting_task,
)
from gentianlink.node.clock import get_monotonic_ms, get_now_ms
from gentianlink.node.endpoint_health import EndpointHealth
from gentianlink.node.log import get_logger
from gentianlink.node.periodic import run_periodically
from gentianlink.node.proxy.connection_pool import ConnectionPool
from gentianlink.platform.table_client import TableClient
from gentianlink.platform.wire import NODES_TABLE, OPERATOR_TABLE, STATUS_TABLE
from gentianlink.sidecar.acknowledgements import Acknowledgements
from gentianlink.sidecar.call_metrics import CallMetrics
from gentianlink.sidecar.call_router import CallRouter
from gentianlink.sidecar.callers.caller_server import CallerServer
from gentianlink.sidecar.completion_notices import CompletionNotices
from gentianlink.sidecar.control_endpoint import (
    make_control_handler,
    make_ready_handler,
)
from gentianlink.sidecar.crash_guard import CrashGuard
from gentianlink.sidecar.datagrams.datagram_endpoint import DatagramEndpoint
from gentianlink.sidecar.dispatch_log import DispatchLog
from gentianlink.sidecar.endpoints_server import serve_endpoint
from gentianlink.sidecar.exchange.peer_endpoint import make_peer_handler
from gentianlink.sidecar.exchange.peer_exchange import PeerExchange
from gentianlink.sidecar.forward_server import ForwardServer
from gentianlink.sidecar.local_target import LocalTarget
from gentianlink.sidecar.metrics_endpoint import make_metrics_handler
from gentianlink.sidecar.node_rows import NodeRows
from gentianlink.sidecar.peer_directory import PeerDirectory
from gentianlink.sidecar.peer_record import PeerRecord
from gentianlink.sidecar.quarantine_rows import QuarantineRows
from gentianlink.sidecar.reader_selector import ReaderSelector
from gentianlink.sidecar.retries.arrival_window import ArrivalWindow
from gentianlink.sidecar.retries.retry_share import RetryShare
from gentianlink.sidecar.rollout.rollouts import TURN_S, Rollouts
from gentianlink.sidecar.routing.load_view import LoadView
from gentianlink.sidecar.rule_feed import RuleFeed
from gentianlink.sidecar.rule_holder import RuleHolder
from gentianlink.sidecar.splitter import Splitter
from gentianlink.sidecar.stop_plan import StopPlan
from gentianlink.sidecar.target_runner import TargetRunner
from gentianlink.sidecar.tenants.quota_gate import QuotaGate
from gentianlink.sidecar.tenants.tenant_flows import make_get_flow

_LOG = get_logger("sidecar")

# Connection pool limit per address; a target accepts 130 connections in all.
MAX_CONNECTIONS = 120
# At least ten times the time to connect over the longest network path.
CONNECT_TIMEOUT_MS = 300
SWEEP_PERIOD_S = 0.5
VERSION_CHECK_S = 0.1
# Reading and writing the rows takes about ten milliseconds on a healthy platform.
MAX_ROWS_WAIT_S = 0.5
STOP_CHECK_S = 0.05
MS_PER_S = 1000
# Closing takes longer only if the other end of a connection is gone.
CLOSE_S = 0.2


class Sidecar:
    """Sidecar process of a target.

    Parameters
    ----------
    settings : SidecarSettings
        Validated settings.
    writer : LineWriter, optional
        Writes the logs; its dropped lines are counted in the metrics.
    limiter : LineLimiter, optional
        Limits the rate of log lines; suppressed lines are counted in the metrics.
    """

    def __init__(self, settings, writer=None, limiter=None):
        self._settings = settings
        self._writer = writer
        self._limiter = limiter
        self._metrics = CallMetrics()
        self._stop_plan = StopPlan(settings.bounds.grace_ms)
        self._tasks = []
        self._endpoints = []
        node = settings.node
        own = PeerRecord(
            node_id=node.id,
            incarnation=get_now_ms(),
            sequence=0,
            data_centre=node.data_centre,
            peer_address=settings.peer_address,
            forward_address=settings.listen.forwards,
            link_mbps=node.link_mbps,
        )
        self._guard = CrashGuard(self._publish, self._store_quarantined, self._metrics)
        self._directory = PeerDirectory(own, self._guard.learn_reports)
        self._datagrams = DatagramEndpoint()
        notices = CompletionNotices(
            self._directory, self._datagrams, self._guard.note_completed_elsewhere
        )
        self._guard.set_notify(notices.send)
        self._load_view = LoadView()
        self._health = EndpointHealth()
        self._holder = RuleHolder()
        self._local_target = LocalTarget(
            settings.target.address,
            self._publish,
            self._guard.note_crash,
            settings.target.service,
            get_monotonic_ms(),
        )
        platform = settings.platform
        self._status_table = TableClient(
            platform.table_url, platform.timeout_ms, STATUS_TABLE
        )
        self._rollouts = Rollouts(
            self._directory,
            self._local_target,
            self._datagrams,
            self._status_table,
            self._metrics,
        )
        self._exchange = PeerExchange(
            self._directory,
            self._load_view,
            self._get_load,
            lambda: self._holder.version,
            self._restore_target,
            rollouts=self._rollouts.board,
            datagrams=self._datagrams,
            on_task_failure=self._count_task_failure,
        )
        self._rollouts.set_spread(self._exchange.spread_rollouts)
        self._nodes_table = TableClient(
            platform.table_url, platform.timeout_ms, NODES_TABLE
        )
        self._operator_table = TableClient(
            platform.table_url, platform.timeout_ms, OPERATOR_TABLE
        )
        self._rows = NodeRows(
            self._nodes_table,
            lambda: self._directory.own,
            self._load_row,
            QuarantineRows(self._guard.load, self._guard.lift),
        )
        self._guard.set_on_disproved(self._rows.remove_quarantined)
        self._acknowledgements = Acknowledgements(
            self._rows, self._exchange, self._metrics
        )
        self._feed = RuleFeed(
            self._operator_table,
            self._holder,
            ReaderSelector(self._directory),
            self._exchange,
            node.link_mbps,
            self._rollouts.note_rows,
        )
        self._pool = ConnectionPool(MAX_CONNECTIONS, CONNECT_TIMEOUT_MS)
        self._dispatches = DispatchLog()
        self._arrivals = ArrivalWindow(settings.bounds.retry_window_ms)
        self._runner = TargetRunner(
            self._local_target,
            self._pool,
            self._dispatches,
            self._guard,
            self._metrics,
            self._rollouts,
            self._arrivals,
            make_get_flow(lambda: self._holder.rules),
            node.link_mbps,
        )
        self._retries = RetryShare(
            settings.bounds, self._count_known_nodes, get_monotonic_ms()
        )
        self._router = CallRouter(
            self._directory,
            self._runner,
            self._pool,
            self._load_view,
            self._health,
            self._retries,
            self._exchange,
            self._guard,
            lambda: self._holder.version,
            self._metrics,
            self._rollouts,
            settings.routing,
        )
        self._quota = QuotaGate(
            self._directory,
            self._datagrams,
            self._get_tenant,
            settings.bounds,
            self._knows_others,
            self._note_silent,
            self._exchange.probe,
            self._metrics,
            may_have_tenants=self._may_have_tenants,
        )
        self._caller_server = CallerServer(
            lambda: self._holder.rules,
            Splitter(),
            self._router,
            settings.target.service,
            self._quota,
            self._metrics,
            self._stop_plan,
            self._directory.get_work_ms,
        )
        self._forward_server = ForwardServer(
            self._runner,
            self._get_load,
            self._holder,
            self._directory.note_version,
            own.incarnation,
            self._stop_plan,
        )
        self._sweeps = self._list_sweeps()

    @classmethod
    def from_settings(cls, settings, writer=None, limiter=None):
        """Return a sidecar for validated settings."""
        return cls(settings, writer, limiter)

    @property
    def is_ready(self):
        """Whether callers should send new calls here."""
        return self._holder.rules is not None and not self._stop_plan.is_stopping

    def _get_load(self):
        return self._local_target.gate.get_load()

    def _publish(self):
        self._directory.update_own(
            target=self._local_target.info,
            is_stopping=self._stop_plan.is_stopping,
            crashes=self._guard.own_reports,
        )
        self._exchange.push()
        self._rows.note_change()

    def _store_quarantined(self, request):
        self._rows.store_quarantined(request)

    def _is_known_service(self, service):
        rules = self._holder.rules
        return rules is None or service in rules.services

    def _may_have_tenants(self):
        rules = self._holder.rules
        return rules is None or rules.tenants is not None

    def _get_tenant(self, name):
        rules = self._holder.rules
        return None if rules is None else (rules.tenants or {}).get(name)

    def _note_silent(self, record):
        self._directory.note_lost(
            record.node_id, "no answer about tokens", get_monotonic_ms()
        )
        self._exchange.probe(record)

    def _knows_others(self):
        return self._rows.is_loaded or self._directory.count > 1

    def _count_known_nodes(self):
        return self._directory.count if self._knows_others() else 0

    def _load_row(self, record):
        own = self._directory.own
        if record.node_id != own.node_id:
            self._exchange.learn(record)
        elif record.incarnation != own.incarnation:
            self._restore_target(record)

    def _restore_target(self, record):
        self._guard.restore(record.crashes)
        if record.target is not None:
            self._local_target.restore(record.target, get_monotonic_ms())

    async def _follow_rules(self):
        # The selection of readers depends on the records of the other nodes.
        await self._rows.wait_until_loaded(MAX_ROWS_WAIT_S)
        await self._feed.run()

    async def run(self, stop_requested, listener=None):
        """Run until asked to stop, then drain calls in flight and close.

        Parameters
        ----------
        stop_requested : asyncio.Event
            Event that requests a graceful shutdown.
        listener : socket.socket, optional
            Socket that is already listening for callers; without it one is opened.
        """
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(make_exception_handler(self._count_task_failure))
        self._listen(listener)
        await self._datagrams.open(self._settings.peer_address)
        for name, make_work in self._list_tasks().items():
            self._tasks.append(
                start_lasting_task(make_work, name, self._count_task_failure)
            )
        own = self._directory.own
        _LOG.info("started", node=own.node_id, incarnation=own.incarnation)
        await stop_requested.wait()
        await self._stop()

    def _list_tasks(self):
        """Return what runs until the process ends, by name."""
        get_newest_version = self._directory.get_newest_version
        return {
            "catalogue feed": self._follow_rules,
            "versions of peers": functools.partial(
                self._feed.run_peers, get_newest_version, VERSION_CHECK_S
            ),
            "node rows": self._rows.run,
            "roll-out status": self._rollouts.run,
            "roll-outs": functools.partial(
                run_periodically, self._rollouts.turn, TURN_S
            ),
            "sweep": functools.partial(run_periodically, self._sweep, SWEEP_PERIOD_S),
            "tenants": self._quota.run,
        }

    def _count_task_failure(self, name):
        self._metrics.count("task_failures_total", task=name)

    def _listen(self, listener):
        listen = self._settings.listen
        if listener is None:
            _listen_on(self._caller_server, listen.calls)
        else:
            self._caller_server.accept_from(listener)
        _listen_on(self._forward_server, listen.forwards)
        control_handler = make_control_handler(
            self._local_target,
            self._acknowledgements.wait_until_kept,
            self._is_known_service,
        )
        self._endpoints = [
            serve_endpoint(listen.ready, make_ready_handler(lambda: self.is_ready)),
            serve_endpoint(listen.control, control_handler),
        ]
        peer_handler = make_peer_handler(
            self._exchange,
            self._holder,
            self._feed,
            self._dispatches,
            self._directory.own.incarnation,
        )
        metrics_address = f"{self._settings.node.address}:{listen.metrics_port}"
        metrics_handler = make_metrics_handler(self._render_metrics)
        self._endpoints.append(serve_endpoint(metrics_address, metrics_handler))
        address = self._settings.peer_address
        self._endpoints.append(serve_endpoint(address, peer_handler))

    def _list_sweeps(self):
        """Return what is done periodically; each takes the present time."""
        return (
            self._pool.sweep,
            self._caller_server.sweep,
            self._directory.forget_old,
            self._exchange.sweep,
            self._local_target.check_confirmed,
            self._local_target.check_failing,
            self._local_target.publish_work,
            self._guard.sweep,
        )

    def _sweep(self):
        now_ms = get_monotonic_ms()
        for sweep in self._sweeps:
            run_step(
                functools.partial(sweep, now_ms), "sweep", self._count_task_failure
            )

    async def _stop(self):
        _LOG.info("stopping", in_flight=self._in_flight)
        self._stop_plan.begin(get_monotonic_ms())
        self._publish()
        await asyncio.sleep(self._stop_plan.accept_ms / MS_PER_S)
        self._caller_server.refuse_new_calls()
        self._local_target.gate.close(Reason.DRAINING)
        while self._in_flight and get_monotonic_ms() < self._stop_plan.end_ms:
            await asyncio.sleep(STOP_CHECK_S)
        _LOG.info("stopped", in_flight=self._in_flight)
        await self.close()

    async def close(self):
        """Cancel all tasks and close all connections immediately."""
        for task in self._tasks:
            task.cancel()
        self._exchange.close()
        for server in (self._caller_server, self._forward_server):
            server.stop_listening()
            server.close()
        for endpoint in self._endpoints:
            endpoint.stop()
        try:
            async with asyncio.timeout(CLOSE_S):
                for endpoint in self._endpoints:
                    await endpoint.close_all_connections()
        except TimeoutError:
            _LOG.warning("connections did not close in time")
        self._datagrams.close()
        self._operator_table.close()
        self._status_table.close()
        self._nodes_table.close()
        self._pool.close()

    def _render_metrics(self):
        now_ms = get_monotonic_ms()
        rate_limit = self._local_target.rate_limit
        tables = (self._operator_table, self._nodes_table, self._status_table)
        totals = {
            ("versions_refused_total", ()): self._holder.refused,
            ("version_fetches_total", ()): self._feed.peer_fetches,
            ("quota_takeovers_total", ()): self._quota.owner.takeovers,
            ("store_calls_total", (("kind", "read"),)): sum(t.reads for t in tables),
            ("store_calls_total", (("kind", "write"),)): sum(t.writes for t in tables),
        }
        if self._writer is not None:
            key = "log_lines_left_out_total", (("cause", "slow reader"),)
            totals[key] = self._writer.dropped
        if self._limiter is not None:
            key = "log_lines_left_out_total", (("cause", "rate"),)
            totals[key] = self._limiter.left_out
        servers = (self._caller_server, self._forward_server)
        gauges = {
            "buffered_body_bytes": sum(item.body_budget.used_bytes for item in servers),
            "catalogue_unknown_kinds": self._holder.unknown_kinds,
            "catalogue_version": self._holder.version,
            "catalogue_newest_version": self._directory.get_newest_version(),
            "catalogue_lag_seconds": self._feed.compute_lag_ms(now_ms) / 1000,
            "feed_call_seconds": self._feed.compute_call_age_ms(now_ms) / 1000,
            "pipelined_bytes": self._caller_server.pipelined_bytes,
            "arrivals_in_window": self._list_arrival_gauges(now_ms),
            "repeats_allowed": [
                ({"service": service}, self._retries.compute_allowance(service, now_ms))
                for service in self._retries.services
            ],
            "gate_in_flight": self._local_target.gate.in_flight,
            "gate_waiting": self._local_target.gate.waiting,
            "target_work_ms": self._list_work_gauges(),
            "data_centre_load": self._list_load_gauges(now_ms),
            "target_rate_limit": -1.0 if rate_limit is None else rate_limit,
            "quarantined_requests": self._guard.quarantined,
            "suspected_requests": self._guard.suspects,
            "peers": self._directory.count - 1,
            "peer_links": self._exchange.links,
            "store_lost": int(self._feed.is_lost),
            **self._rollouts.compute_gauges(),
            **self._quota.get_gauges(now_ms),
        }
        return self._metrics.render(totals, gauges)

    def _list_work_gauges(self):
        info = self._local_target.info
        return [({"rule": name}, ms) for name, ms in (info.work_ms if info else ())]

    def _list_arrival_gauges(self, now_ms):
        arrivals = self._arrivals
        return [
            ({"service": service, "attempt": attempt}, count(service, now_ms))
            for service in arrivals.services
            for attempt, count in (
                ("first", arrivals.count_firsts),
                ("repeat", arrivals.count_repeats),
            )
        ]

    def _list_load_gauges(self, now_ms):
        return [
            ({"service": service, "data_centre": data_centre}, load)
            for service, data_centre, load in self._router.data_centre_loads.list_loads(
                now_ms
            )
        ]

    @property
    def version(self):
        """Catalogue version in force; 0 before the first one."""
        return self._holder.version

    @property
    def is_reading(self):
        """Whether this node reads the operator's table for its data centre."""
        return self._feed.is_reading

    def count_known_targets(self):
        """Return the number of known targets."""
        return len(self._get_targets())

    def count_ready_targets(self):
        """Return the number of known targets that are ready for new calls."""
        targets = self._get_targets()
        return sum(target.state is TargetState.READY for target in targets)

    def _get_targets(self):
        records = [self._directory.own, *self._directory.get_records()]
        return [record.target for record in records if record.target is not None]

    @property
    def _in_flight(self):
        return self._caller_server.in_flight + self._forward_server.in_flight


def _listen_on(server, address):
    host, _, port = address.rpartition(":")
    server.listen(host, int(port))
