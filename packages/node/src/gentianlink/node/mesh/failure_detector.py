"""Failure detector with direct and indirect probes, as in SWIM.

A neighbour whose link was lost, or that could not be dialled, is examined: this node
probes it over a new connection, then asks a few other neighbours to probe it. The
neighbour becomes a suspect only if none of them reaches it, so a single bad network
path does not remove a node from the fleet. Each node monitors only its neighbours,
so its cost does not depend on the size of the fleet.
"""

import asyncio
import random

from gentianlink.core.node_state import NodeState
from gentianlink.node.background import start_task
from gentianlink.node.clock import get_monotonic_ms
from gentianlink.node.log import get_logger
from gentianlink.node.mesh import mesh_pb2
from gentianlink.node.mesh.probe_result import ProbeResult
from gentianlink.node.mesh.prober import probe_node

_LOG = get_logger("mesh")

INDIRECT_PROBE_HELPERS = 3
INDIRECT_PROBE_TIMEOUT_S = 2.0
EXAMINATION_MIN_INTERVAL_MS = 3000
EXAMINATION_MAX_DURATION_MS = 6000
MAX_EXAMINATIONS = 32
MAX_PROBES_FOR_OTHERS = 16
RECENT_FRAME_MS = 2000


def is_suspect(direct, indirect):
    """Return whether the probes of a node justify a suspicion.

    Parameters
    ----------
    direct : ProbeResult
        Result of this node's own probe.
    indirect : list of bool
        For each neighbour that answered, whether it reached the node.

    Returns
    -------
    bool
        True if no probe reached the node, and either its address refuses connections
        or at least one other neighbour confirms that it does not answer. A node
        without an answer from any neighbour suspects nobody, because it may itself
        be isolated.
    """
    if direct is ProbeResult.ALIVE or any(indirect):
        return False
    return direct is ProbeResult.REFUSED or bool(indirect)


class FailureDetector:
    """Examines neighbours that may have failed, and probes nodes for neighbours.

    Parameters
    ----------
    membership : Membership
        Records of the nodes; receives the suspicions.
    mesh : Mesh
        Links to the neighbours that are asked for indirect probes.
    probe : callable, optional
        Coroutine function that probes a node record and returns a report.
    get_ms : callable, optional
        Returns the present time on the monotonic clock in milliseconds.
    rng : random.Random, optional
        Source of randomness.
    """

    def __init__(
        self,
        membership,
        mesh,
        probe=probe_node,
        get_ms=get_monotonic_ms,
        rng=random,
    ):
        self._membership = membership
        self._mesh = mesh
        self._probe = probe
        self._get_ms = get_ms
        self._rng = rng
        self._examined_ms = {}
        self._running = {}
        self._answers = {}
        self._probe_id = 0
        self._probes_for_others = 0
        mesh.add_handler("indirect_probe", self.handle_probe)
        mesh.add_handler("indirect_probe_answer", self.handle_answer)

    def examine(self, node_id, now_ms):
        """Start the examination of a node.

        Parameters
        ----------
        node_id : str
            Name of the node.
        now_ms : float
            Present time on the monotonic clock in milliseconds.

        Returns
        -------
        asyncio.Task or None
            The examination; None if the node is not alive, was examined less than
            ``EXAMINATION_MIN_INTERVAL_MS`` ago, or too many examinations run.
        """
        record = self._membership.nodes.get(node_id)
        if record is None or record.state is not NodeState.ALIVE:
            return None
        self._expire_examinations(now_ms)
        if node_id in self._examined_ms or len(self._running) >= MAX_EXAMINATIONS:
            return None
        self._examined_ms[node_id] = now_ms
        task = start_task(self._examine(record, now_ms), f"examination of {node_id}")
        self._running[node_id] = task
        task.add_done_callback(lambda _: self._running.pop(node_id, None))
        return task

    def _expire_examinations(self, now_ms):
        self._examined_ms = {
            node_id: since_ms
            for node_id, since_ms in self._examined_ms.items()
            if now_ms < since_ms + EXAMINATION_MIN_INTERVAL_MS
        }

    async def _examine(self, record, started_ms):
        report = await self._probe(record)
        if report.record is not None:
            self._membership.merge([report.record], [], self._get_ms())
        indirect = []
        if report.result is not ProbeResult.ALIVE:
            indirect = await self._probe_indirectly(record)
        now_ms = self._get_ms()
        if now_ms > started_ms + EXAMINATION_MAX_DURATION_MS:
            _LOG.info(
                "examination took too long; result discarded", node=record.node_id
            )
            return
        current = self._membership.nodes.get(record.node_id)
        if current != record or not is_suspect(report.result, indirect):
            return
        _LOG.warning("node suspected", node=record.node_id, why=report.result.value)
        self._membership.suspect(record.node_id, now_ms)

    async def _probe_indirectly(self, record):
        links = [
            link for link in self._mesh.links.values() if link.peer_id != record.node_id
        ]
        helpers = self._rng.sample(links, min(INDIRECT_PROBE_HELPERS, len(links)))
        if not helpers:
            return []
        self._probe_id += 1
        probe_id = self._probe_id
        answers = asyncio.Queue(INDIRECT_PROBE_HELPERS)
        self._answers[probe_id] = answers
        message = mesh_pb2.IndirectProbe(probe_id=probe_id, node_id=record.node_id)
        for link in helpers:
            link.send(mesh_pb2.Frame(indirect_probe=message))
        try:
            return await _collect(answers, len(helpers))
        finally:
            del self._answers[probe_id]

    def handle_answer(self, message, link):
        """Handle the answer of a neighbour to an indirect probe."""
        answers = self._answers.get(message.probe_id)
        if answers is not None and not answers.full():
            answers.put_nowait(message.is_alive)

    def handle_probe(self, message, link):
        """Probe a node for a neighbour and send the neighbour the result.

        A node from which a frame arrived within ``RECENT_FRAME_MS`` is reported as
        alive without a probe.
        """
        record = self._membership.nodes.get(message.node_id)
        if record is None or self._probes_for_others >= MAX_PROBES_FOR_OTHERS:
            return
        own_link = self._mesh.links.get(message.node_id)
        if own_link is not None:
            if self._get_ms() < own_link.last_frame_ms + RECENT_FRAME_MS:
                _send_answer(link, message.probe_id, True)
                return
        self._probes_for_others += 1
        probe = self._probe_for_neighbour(message.probe_id, record, link)
        start_task(probe, f"probe of {record.node_id}")

    async def _probe_for_neighbour(self, probe_id, record, link):
        try:
            report = await self._probe(record)
        finally:
            self._probes_for_others -= 1
        if report.record is not None:
            self._membership.merge([report.record], [], self._get_ms())
        _send_answer(link, probe_id, report.result is ProbeResult.ALIVE)


def _send_answer(link, probe_id, is_alive):
    answer = mesh_pb2.IndirectProbeAnswer(probe_id=probe_id, is_alive=is_alive)
    link.send(mesh_pb2.Frame(indirect_probe_answer=answer))


async def _collect(answers, expected):
    collected = []
    try:
        async with asyncio.timeout(INDIRECT_PROBE_TIMEOUT_S):
            while len(collected) < expected and not any(collected):
                collected.append(await answers.get())
    except TimeoutError:
        return collected
    return collected
