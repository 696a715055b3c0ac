import asyncio
import random

import pytest

from gentianlink.core.node_record import NodeRecord
from gentianlink.node.applied_catalogue import AppliedCatalogue
from gentianlink.node.live_view import LiveView
from gentianlink.node.mesh.control_bytes import ControlBytes
from gentianlink.node.mesh.convergence_service import ConvergenceService
from gentianlink.node.mesh.server import start_mesh_server
from gentianlink.node.report_collector import ReportCollector
from gentianlink.node.test_applied_catalogue import ONE, apply_snapshot
from gentianlink.node.test_report_collector import FakeMembership
from gentianlink.ops.convergence import rank_collectors
from gentianlink.testing.loopback import get_own_address, get_ports


class FakeNode:
    """Convergence service and report collector of a node, on a real port."""

    def __init__(self, own, nodes):
        others = [node for node in nodes if node is not own]
        self.membership = FakeMembership(own, *others)
        self.applied = AppliedCatalogue(lambda: None)
        view = LiveView(self.membership)
        self.collector = ReportCollector(view)
        self.service = ConvergenceService(
            view,
            own,
            self.applied,
            self.collector,
            ControlBytes(),
            random.Random(1),
        )
        self.server = None
        self.task = None

    async def start(self):
        own = self.membership.own_record
        self.server = await start_mesh_server(
            None, self.collector, own.address, own.mesh_port
        )
        self.task = asyncio.create_task(self.service.run())

    async def stop(self):
        self.task.cancel()
        self.service.close()
        await self.server.stop(0)

    def apply(self):
        apply_snapshot(self.applied, ONE)
        self.service.notify()


def make_nodes():
    address = get_own_address(1)
    ports = get_ports(4)
    return [
        NodeRecord(f"n{number}", 1, 1, "r", data_centre, address, 1, port, 1)
        for number, (data_centre, port) in enumerate(
            zip(("north", "north", "north", "south"), ports, strict=True)
        )
    ]


async def wait_complete(node):
    for _ in range(200):
        state = await node.service.compute(1)
        if state.is_complete:
            return state
        await asyncio.sleep(0.02)
    raise TimeoutError(str(state))


async def run_fleet(work):
    records = make_nodes()
    nodes = {record.node_id: FakeNode(record, records) for record in records}
    for node in nodes.values():
        await node.start()
    try:
        return await work(nodes, records)
    finally:
        for node in nodes.values():
            await node.stop()


def remove_member(nodes, name):
    for node in nodes.values():
        live = node.membership.live
        node.membership.live = [item for item in live if item.node_id != name]


class TestConvergenceService:
    def test_every_node_returns_the_same_state(self):
        async def work(nodes, records):
            for node in nodes.values():
                node.apply()
            return [await wait_complete(node) for node in nodes.values()]

        states = asyncio.run(run_fleet(work))
        assert [(state.nodes, state.in_force) for state in states] == [(4, 4)] * 4

    def test_node_behind_is_named(self):
        async def work(nodes, records):
            for node in list(nodes.values())[:3]:
                node.apply()
            for _ in range(200):
                state = await nodes["n0"].service.compute(1)
                if state.in_force == 3:
                    return state
                await asyncio.sleep(0.02)

        state = asyncio.run(run_fleet(work))
        assert (state.behind, state.is_complete) == (("n3",), False)

    @pytest.mark.proves("in-force", "kill", "apply")
    def test_next_collector_takes_over(self):
        async def work(nodes, records):
            for node in nodes.values():
                node.apply()
            await wait_complete(nodes["n0"])
            first = rank_collectors(["n0", "n1", "n2"], 0)[0]
            await nodes[first].server.stop(0)
            left = {name: node for name, node in nodes.items() if name != first}
            remove_member(left, first)
            return await wait_complete(nodes["n3"])

        state = asyncio.run(run_fleet(work))
        assert (state.nodes, state.in_force) == (3, 3)

    def test_silent_data_centre_counts_as_behind(self):
        async def work(nodes, records):
            for node in nodes.values():
                node.apply()
            await wait_complete(nodes["n0"])
            await nodes["n3"].server.stop(0)
            return await nodes["n0"].service.compute(1)

        state = asyncio.run(run_fleet(work))
        assert (state.in_force, state.behind) == (3, ("n3",))
