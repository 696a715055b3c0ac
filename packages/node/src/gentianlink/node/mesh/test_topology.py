import asyncio
import random

import attrs

from gentianlink.core.node_record import NodeRecord
from gentianlink.core.node_state import NodeState
from gentianlink.core.settings import MeshSettings
from gentianlink.node.membership import Membership
from gentianlink.node.mesh import topology as topology_module
from gentianlink.node.mesh.dialer import BACKOFF_MAX_MS, compute_backoff_ms
from gentianlink.node.mesh.topology import (
    FULL_BACKOFF_MS,
    TEMPORARY_LINK_MAX_MS,
    Topology,
)

OWN = NodeRecord("own", 100, 1, "r", "r-1", "127.0.0.1", 1, 7000, 3)
SETTINGS = attrs.evolve(
    MeshSettings(), seeds=("127.0.0.9:1", "127.0.0.9:2"), links_regions=0
)


def make_node(name, port, state=NodeState.ALIVE):
    return attrs.evolve(OWN, node_id=name, mesh_port=port, state=state)


class FakeMesh:
    def __init__(self):
        self.links = {}


class Dials:
    """Replaces the dialers and records the plans that are running."""

    def __init__(self, monkeypatch):
        self.open = {}
        monkeypatch.setattr(topology_module, "run_dialer", self._run)
        monkeypatch.setattr(topology_module, "run_temporary_link", self._run)

    async def _run(self, mesh, plan):
        self.open[plan.address] = plan
        try:
            await asyncio.Event().wait()
        finally:
            del self.open[plan.address]

    async def settle(self):
        for _ in range(5):
            await asyncio.sleep(0)
        return sorted(self.open)


def run(monkeypatch, work, *nodes):
    async def run_work():
        membership = Membership(OWN, lambda *change: None)
        membership.merge(nodes, [], 0)
        mesh = FakeMesh()
        topology = Topology(
            mesh, membership, SETTINGS, lambda _: None, random.Random(1)
        )
        try:
            await work(topology, membership, mesh, Dials(monkeypatch))
        finally:
            topology.close()

    asyncio.run(run_work())


class TestTopology:
    def test_node_without_links_dials_few_addresses_at_a_time(self, monkeypatch):
        async def work(topology, membership, mesh, dials):
            rows = [f"127.0.0.8:{port}" for port in range(1, 60)]
            for now_ms in range(0, TEMPORARY_LINK_MAX_MS, 100):
                topology.update(now_ms, rows)
                assert len(await dials.settle()) == 2
            first = await dials.settle()
            topology.update(TEMPORARY_LINK_MAX_MS, rows)
            topology.update(TEMPORARY_LINK_MAX_MS + 100, rows)
            assert await dials.settle() != first

        run(monkeypatch, work)

    def test_join_links_end_once_the_chosen_links_are_up(self, monkeypatch):
        async def work(topology, membership, mesh, dials):
            topology.update(0)
            assert await dials.settle() == list(SETTINGS.seeds)
            mesh.links["x"] = None
            membership.merge([make_node("b", 1), make_node("c", 2)], [], 0)
            seeds = [
                attrs.evolve(
                    make_node(f"seed-{port}", port), region="r2", address="127.0.0.9"
                )
                for port in (1, 2)
            ]
            membership.merge(seeds, [], 0)
            topology.update(100)
            topology.update(1100)
            chosen = ["127.0.0.1:1", "127.0.0.1:2"]
            assert await dials.settle() == chosen + list(SETTINGS.seeds)
            mesh.links.update(b=None, c=None)
            topology.update(1200)
            assert await dials.settle() == chosen

        run(monkeypatch, work)

    def test_dead_node_is_not_dialled(self, monkeypatch):
        async def work(topology, membership, mesh, dials):
            mesh.links["b"] = None
            topology.update(0)
            await dials.settle()
            dead = make_node("b", 1, NodeState.DEAD)
            membership.merge([dead], [], 0)
            topology.update(1000)
            await dials.settle()
            assert {plan.node_id for plan in dials.open.values()} <= {"c", None}

        run(monkeypatch, work, make_node("b", 1), make_node("c", 2))

    def test_node_restarted_at_another_address_is_dialled_there(self, monkeypatch):
        async def work(topology, membership, mesh, dials):
            mesh.links["b"] = None
            topology.update(0)
            assert "127.0.0.1:1" in await dials.settle()
            restarted = attrs.evolve(make_node("b", 5), incarnation=200)
            membership.merge([restarted], [], 0)
            topology.update(1000)
            open_addresses = await dials.settle()
            assert "127.0.0.1:5" in open_addresses
            assert "127.0.0.1:1" not in open_addresses

        run(monkeypatch, work, make_node("b", 1))

    def test_full_neighbour_is_not_dialled_during_the_backoff(self, monkeypatch):
        async def work(topology, membership, mesh, dials):
            mesh.links["b"] = None
            topology.update(0)
            await dials.settle()
            dials.open["127.0.0.1:1"].on_full("b", 0)
            topology.update(1000)
            assert "127.0.0.1:1" not in await dials.settle()
            topology.update(FULL_BACKOFF_MS)
            assert "127.0.0.1:1" in await dials.settle()

        run(monkeypatch, work, *(make_node(n, p) for n, p in (("b", 1), ("c", 2))))

    def test_dead_nodes_are_dialled_to_heal_a_partition(self, monkeypatch):
        async def work(topology, membership, mesh, dials):
            dead = attrs.evolve(make_node("far", 9, NodeState.DEAD), data_centre="r-2")
            membership.merge([dead], [], 0)
            mesh.links["b"] = None
            tried = set()
            for now_ms in range(0, 120_000, 1000):
                topology.update(now_ms)
                tried.update(await dials.settle())
            assert "127.0.0.1:9" in tried

        run(monkeypatch, work, make_node("b", 1))

    def test_addresses_from_the_platform_join_parts_of_the_fleet(self, monkeypatch):
        async def work(topology, membership, mesh, dials):
            mesh.links["b"] = None
            topology.set_discovered_addresses(["127.0.0.1:1", "127.0.0.7:7"])
            topology.update(0)
            assert "127.0.0.7:7" in await dials.settle()

        run(monkeypatch, work, make_node("b", 1))

    def test_backoff_has_full_jitter_up_to_a_bound(self):
        rng = random.Random(1)
        for attempt in range(100):
            bound_ms = min(BACKOFF_MAX_MS, 50 * 2**attempt)
            assert 0 <= compute_backoff_ms(attempt, rng) <= bound_ms
        waits = [compute_backoff_ms(20, rng) for _ in range(200)]
        assert min(waits) < 0.1 * BACKOFF_MAX_MS
        assert max(waits) > 0.9 * BACKOFF_MAX_MS
