"""Report the version in force to a collector, and query the collectors of all nodes."""

import asyncio
import random

import grpc

from gentianlink.core.convergence import Convergence, DataCentreConvergence
from gentianlink.core.node_report import NodeReport
from gentianlink.node.clock import get_now_ms
from gentianlink.node.log import get_logger
from gentianlink.node.mesh import mesh_pb2
from gentianlink.node.mesh.channels import Channels
from gentianlink.ops.convergence import (
    compute_shard_convergence,
    merge_shard_convergences,
)

_LOG = get_logger("ack")

CALL_TIMEOUT_S = 0.5
JITTER_MS_PER_NODE = 1
JITTER_MAX_MS = 500
CHECK_INTERVAL_S = 0.25
REPORT_INTERVAL_MS = 30_000
BACKOFF_FIRST_MS = 50
BACKOFF_MAX_MS = 2000
COLLECTOR_BACKOFF_MS = 5000
MAX_QUERIED_COLLECTORS = 2


class ConvergenceService:
    """Sends the reports of this node and computes the convergence of all nodes.

    Each data centre is divided into shards, and each shard has a ranked list of
    collectors. A node reports to the first collector of its shard that has not
    recently failed to answer.

    Parameters
    ----------
    view : LiveView
        Live nodes and the ranking of collectors among them.
    own_record : NodeRecord
        Record of this node.
    applied : AppliedCatalogue
        Versions in force and refused.
    collector : ReportCollector
        Reports that this node collects.
    control_bytes : ControlBytes
        Counters of bytes between nodes.
    rng : random.Random, optional
        Source of randomness.
    """

    def __init__(self, view, own_record, applied, collector, control_bytes, rng=random):
        self._view = view
        self._own = own_record
        self._applied = applied
        self._collector = collector
        self._control_bytes = control_bytes
        self._rng = rng
        self._channels = Channels()
        self._reported_key = None
        self._reported_ms = 0
        self._failures = 0
        self._avoided_until_ms = {}
        self._changed = asyncio.Event()

    def notify(self):
        """Wake the report loop: the version in force or the refused ones changed."""
        self._changed.set()

    async def run(self):
        """Send reports until cancelled.

        A report is due when its content or the collector changed, and every
        ``REPORT_INTERVAL_MS``.
        """
        while True:
            if self._is_due(get_now_ms()):
                self._changed.clear()
                await self._report(get_now_ms())
            if self._failures:
                await asyncio.sleep(self._compute_backoff_ms() / 1000)
                continue
            try:
                async with asyncio.timeout(CHECK_INTERVAL_S):
                    await self._changed.wait()
                await asyncio.sleep(self._compute_jitter_ms() / 1000)
            except TimeoutError:
                continue

    def _make_report(self):
        return NodeReport(
            self._own.node_id,
            self._own.incarnation,
            self._applied.version,
            self._applied.refused,
        )

    def _find_collector(self, now_ms):
        shard = self._view.get_own_shard()
        names = self._view.get_collectors(self._own.data_centre, shard)
        for name in names:
            if self._avoided_until_ms.get(name, 0) <= now_ms:
                return self._view.get_node(name)
        return self._view.get_node(names[0])

    def _make_report_key(self, collector, report):
        return collector.node_id, collector.incarnation, report

    def _is_due(self, now_ms):
        key = self._make_report_key(self._find_collector(now_ms), self._make_report())
        return (
            key != self._reported_key
            or now_ms - self._reported_ms >= REPORT_INTERVAL_MS
        )

    async def _report(self, now_ms):
        collector = self._find_collector(now_ms)
        report = self._make_report()
        if collector.node_id == self._own.node_id:
            self._collector.add_report(report, now_ms)
        elif not await self._send(collector, report):
            self._failures += 1
            self._avoided_until_ms[collector.node_id] = now_ms + COLLECTOR_BACKOFF_MS
            return
        self._failures = 0
        self._reported_key = self._make_report_key(collector, report)
        self._reported_ms = now_ms

    async def _send(self, collector, report):
        stub = self._channels.get_stub(collector)
        message = encode_report(report)
        self._control_bytes.count_sent("report", message)
        try:
            await stub.Report(message, timeout=CALL_TIMEOUT_S)
        except grpc.RpcError as error:
            _LOG.warning(
                "report to collector failed",
                peer=collector.node_id,
                why=str(error.code()),
            )
            self._channels.drop(collector)
            return False
        return True

    def _compute_jitter_ms(self):
        nodes = len(self._view.get_names(self._own.data_centre))
        return self._rng.uniform(0, min(JITTER_MAX_MS, JITTER_MS_PER_NODE * nodes))

    def _compute_backoff_ms(self):
        bound_ms = BACKOFF_FIRST_MS * 2 ** min(self._failures, 16)
        return self._rng.uniform(0, min(BACKOFF_MAX_MS, bound_ms))

    async def compute(self, version):
        """Return on how many nodes of each data centre a version is in force.

        Parameters
        ----------
        version : int
            The version.

        Returns
        -------
        Convergence
            State of each data centre. The nodes of a shard whose collectors do not
            answer count as behind.
        """
        names = self._view.data_centres
        states = await asyncio.gather(
            *(self._compute_data_centre(name, version) for name in names)
        )
        return Convergence(version, dict(zip(names, states, strict=True)))

    async def _compute_data_centre(self, data_centre, version):
        shards = self._view.get_shards(data_centre)
        parts = await asyncio.gather(
            *(
                self._compute_shard(data_centre, version, shard, shards)
                for shard in range(len(shards))
            )
        )
        return merge_shard_convergences(parts)

    async def _compute_shard(self, data_centre, version, shard, shards):
        request = mesh_pb2.ConvergenceRequest(
            version=version, shard=shard, shards=len(shards)
        )
        nodes = [self._view.get_node(name) for name in shards[shard]]
        best = None
        for name in self._view.get_collectors(data_centre, shard)[
            :MAX_QUERIED_COLLECTORS
        ]:
            answer = await self._query_collector(self._view.get_node(name), request)
            if answer is None:
                continue
            if best is None or answer.in_force > best.in_force:
                best = answer
            if best.in_force == best.nodes:
                break
        return compute_shard_convergence(nodes, best)

    async def _query_collector(self, collector, request):
        if collector.node_id == self._own.node_id:
            return self._collector.compute(
                request.version, request.shard, request.shards
            )
        stub = self._channels.get_stub(collector)
        try:
            message = await stub.GetConvergence(request, timeout=CALL_TIMEOUT_S)
        except grpc.RpcError as error:
            _LOG.warning(
                "collector did not answer",
                peer=collector.node_id,
                why=str(error.code()),
            )
            self._channels.drop(collector)
            return None
        self._control_bytes.count_sent("convergence", request)
        self._control_bytes.count_received("convergence", message)
        return decode_answer(message)

    def close(self):
        """Close all channels to collectors."""
        self._channels.close()


def encode_report(report):
    """Return a report as a message."""
    return mesh_pb2.NodeReport(
        node_id=report.node_id,
        incarnation=report.incarnation,
        version=report.version,
        refused=report.refused,
    )


def decode_report(message):
    """Return the report in a message."""
    return NodeReport(
        node_id=message.node_id,
        incarnation=message.incarnation,
        version=message.version,
        refused=dict(message.refused),
    )


def encode_answer(state):
    """Return the state of a data centre as a message."""
    return mesh_pb2.ConvergenceAnswer(
        nodes=state.nodes,
        in_force=state.in_force,
        behind=state.behind,
        refused=state.refused,
    )


def decode_answer(message):
    """Return the state of a data centre in a message."""
    return DataCentreConvergence(
        nodes=message.nodes,
        in_force=message.in_force,
        behind=tuple(message.behind),
        refused=dict(message.refused),
    )
