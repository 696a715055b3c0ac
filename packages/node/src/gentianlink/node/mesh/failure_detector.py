"""Find out whether a neighbour failed or only the link to it.

A neighbour whose link was lost is probed over a new connection, then by a few other
neighbours. It becomes a suspect only if none of them reaches it, so that one bad
path does not take a node out of the fleet. A node watches its neighbours only, so
the cost of a node does not depend on the size of the fleet.
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

HELPERS = 3
HELPER_TIMEOUT_S = 2.0
EXAMINATION_PERIOD_MS = 3000
EXAMINATION_MAX_MS = 6000
MAX_EXAMINATIONS = 32
MAX_HELPED_PROBES = 16
HEARD_RECENTLY_MS = 2000


def is_suspect(direct, indirect):
    """Return whether a node is to be suspected.

    Parameters
    ----------
    direct : ProbeResult
        Result of this node's own probe.
    indirect : list of bool
        Whether each neighbour that answered could reach the node.

    Returns
    -------
    bool
        True if nobody reached the node, and either its address refuses connections
        or another neighbour confirms the silence. A node that is cut off from all
        others suspects nobody: it can't tell whose fault the silence is.
    """
    if direct is ProbeResult.ALIVE or any(indirect):
        return False
    return direct is ProbeResult.REFUSED or bool(indirect)


class FailureDetector:
    """Examines neighbours that were lost, and helps others to do so.

    Parameters
    ----------
    membership : Membership
        Nodes, takes the suspicions.
    mesh : Mesh
        Links to the neighbours that help.
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
        self._helped_probes = 0
        mesh.add_handler("indirect_probe", self.handle_probe)
        mesh.add_handler("indirect_probe_answer", self.handle_answer)

    def examine(self, node_id, now_ms):
        """Begin to examine a node, unless that was done a short time ago.

        Parameters
        ----------
        node_id : str
            Name of the node.
        now_ms : float
            Present time on the monotonic clock in milliseconds.

        Returns
        -------
        asyncio.Task or None
            The examination.
        """
        record = self._membership.nodes.get(node_id)
        if record is None or record.state is not NodeState.ALIVE:
            return None
        self._forget_old(now_ms)
        if node_id in self._examined_ms or len(self._running) >= MAX_EXAMINATIONS:
            return None
        self._examined_ms[node_id] = now_ms
        task = start_task(self._run(record, now_ms), f"examination of {node_id}")
        self._running[node_id] = task
        task.add_done_callback(lambda _: self._running.pop(node_id, None))
        return task

    def _forget_old(self, now_ms):
        self._examined_ms = {
            node_id: since_ms
            for node_id, since_ms in self._examined_ms.items()
            if now_ms < since_ms + EXAMINATION_PERIOD_MS
        }

    async def _run(self, record, started_ms):
        report = await self._probe(record)
        if report.record is not None:
            self._membership.merge([report.record], [], self._get_ms())
        indirect = []
        if report.result is not ProbeResult.ALIVE:
            indirect = await self._ask_helpers(record)
        now_ms = self._get_ms()
        if now_ms > started_ms + EXAMINATION_MAX_MS:
            _LOG.info("examination void after a pause", node=record.node_id)
            return
        current = self._membership.nodes.get(record.node_id)
        if current != record or not is_suspect(report.result, indirect):
            return
        _LOG.warning("node suspected", node=record.node_id, why=report.result.value)
        self._membership.suspect(record.node_id, now_ms)

    async def _ask_helpers(self, record):
        links = [
            link for link in self._mesh.links.values() if link.peer_id != record.node_id
        ]
        helpers = self._rng.sample(links, min(HELPERS, len(links)))
        if not helpers:
            return []
        self._probe_id += 1
        probe_id = self._probe_id
        answers = asyncio.Queue(HELPERS)
        self._answers[probe_id] = answers
        message = mesh_pb2.IndirectProbe(probe_id=probe_id, node_id=record.node_id)
        for link in helpers:
            link.send(mesh_pb2.Frame(indirect_probe=message))
        try:
            return await _collect(answers, len(helpers))
        finally:
            del self._answers[probe_id]

    def handle_answer(self, message, link):
        """Take in whether a neighbour reached an examined node."""
        answers = self._answers.get(message.probe_id)
        if answers is not None and not answers.full():
            answers.put_nowait(message.is_alive)

    def handle_probe(self, message, link):
        """Find out for a neighbour whether a node can be reached from here."""
        record = self._membership.nodes.get(message.node_id)
        if record is None or self._helped_probes >= MAX_HELPED_PROBES:
            return
        own_link = self._mesh.links.get(message.node_id)
        if own_link is not None:
            if self._get_ms() < own_link.heard_ms + HEARD_RECENTLY_MS:
                _answer(link, message.probe_id, True)
                return
        self._helped_probes += 1
        work = self._help(message.probe_id, record, link)
        start_task(work, f"probe of {record.node_id}")

    async def _help(self, probe_id, record, link):
        try:
            report = await self._probe(record)
        finally:
            self._helped_probes -= 1
        if report.record is not None:
            self._membership.merge([report.record], [], self._get_ms())
        _answer(link, probe_id, report.result is ProbeResult.ALIVE)


def _answer(link, probe_id, is_alive):
    answer = mesh_pb2.IndirectProbeAnswer(probe_id=probe_id, is_alive=is_alive)
    link.send(mesh_pb2.Frame(indirect_probe_answer=answer))


async def _collect(answers, number):
    collected = []
    try:
        async with asyncio.timeout(HELPER_TIMEOUT_S):
            while len(collected) < number and not any(collected):
                collected.append(await answers.get())
    except TimeoutError:
        return collected
    return collected
