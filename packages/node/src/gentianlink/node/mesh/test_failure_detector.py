import asyncio
import random

import attrs
import pytest

from gentianlink.core.node_record import NodeRecord
from gentianlink.core.node_state import NodeState
from gentianlink.node.membership import Membership
from gentianlink.node.mesh.failure_detector import FailureDetector, is_suspect
from gentianlink.node.mesh.link import Link
from gentianlink.node.mesh.probe_result import ProbeResult
from gentianlink.node.mesh.prober import ProbeReport

OWN = NodeRecord("own", 100, 1, "r", "r-1", "127.0.0.1", 1, 2, 3)
PEER = attrs.evolve(OWN, node_id="peer")


class FakeMesh:
    def __init__(self):
        self.links = {}
        self.handlers = {}

    def add_handler(self, kind, handler):
        self.handlers[kind] = handler


class AnsweringLink(Link):
    def __init__(self, mesh, peer_id, answer):
        super().__init__(peer_id)
        self._mesh = mesh
        self._answer = answer

    def send(self, frame):
        probe = frame.indirect_probe
        answer = type(frame)(
            indirect_probe_answer={
                "probe_id": probe.probe_id,
                "is_alive": self._answer,
            }
        )
        handler = self._mesh.handlers["indirect_probe_answer"]
        handler(answer.indirect_probe_answer, self)


def examine(result, answers, times=(0, 0, 0), report_record=None):
    async def run():
        membership = Membership(OWN, lambda *change: None)
        membership.merge([PEER], [], 0)
        mesh = FakeMesh()
        for number, answer in enumerate(answers):
            mesh.links[f"helper-{number}"] = AnsweringLink(
                mesh, f"helper-{number}", answer
            )

        async def probe(record):
            return ProbeReport(result, report_record)

        clock = iter(times)
        detector = FailureDetector(
            membership, mesh, probe, lambda: next(clock), random.Random(1)
        )
        await detector.examine("peer", 0)
        return membership.nodes["peer"]

    return asyncio.run(run())


class TestFailureDetector:
    @pytest.mark.parametrize(
        ("direct", "indirect", "verdict"),
        [
            (ProbeResult.ALIVE, [], False),
            (ProbeResult.ALIVE, [False, False], False),
            (ProbeResult.REFUSED, [], True),
            (ProbeResult.REFUSED, [False], True),
            (ProbeResult.REFUSED, [False, True], False),
            (ProbeResult.SILENT, [], False),
            (ProbeResult.SILENT, [False, False, False], True),
            (ProbeResult.SILENT, [False, False, True], False),
        ],
    )
    def test_verdict(self, direct, indirect, verdict):
        assert is_suspect(direct, indirect) is verdict

    def test_silent_node_becomes_suspect_once_others_confirm(self):
        suspect = attrs.evolve(PEER, state=NodeState.SUSPECT)
        assert examine(ProbeResult.SILENT, [False] * 5) == suspect

    def test_node_that_helpers_reach_is_not_suspected(self):
        assert examine(ProbeResult.SILENT, [True] * 5) == PEER

    def test_isolated_node_suspects_nobody(self):
        assert examine(ProbeResult.SILENT, []) == PEER

    def test_record_of_a_restarted_node_is_merged(self):
        restarted = attrs.evolve(PEER, incarnation=200)
        found = examine(ProbeResult.ALIVE, [], report_record=restarted)
        assert found == restarted

    def test_examination_that_took_too_long_is_discarded(self):
        assert examine(ProbeResult.SILENT, [False] * 5, times=(30_000,)) == PEER

    def test_examinations_of_a_node_are_limited(self):
        async def run():
            membership = Membership(OWN, lambda *change: None)
            membership.merge([PEER], [], 0)

            async def probe(record):
                return ProbeReport(ProbeResult.ALIVE)

            detector = FailureDetector(membership, FakeMesh(), probe, lambda: 0)
            started = []
            for now_ms in (0, 1000, 2999, 3000):
                task = detector.examine("peer", now_ms)
                started.append(task is not None)
                if task is not None:
                    await task
            return started

        assert asyncio.run(run()) == [True, False, False, True]

    def test_helper_with_a_recent_frame_answers_without_a_probe(self):
        membership = Membership(OWN, lambda *change: None)
        membership.merge([PEER], [], 0)
        mesh = FakeMesh()
        mesh.links["peer"] = Link("peer")
        detector = FailureDetector(membership, mesh, None, lambda: 1999)
        sent = []
        asker = Link("asker")
        asker.send = sent.append
        probe = attrs.make_class("Probe", ["probe_id", "node_id"])(7, "peer")
        detector.handle_probe(probe, asker)
        answer = sent[0].indirect_probe_answer
        assert (answer.probe_id, answer.is_alive) == (7, True)
