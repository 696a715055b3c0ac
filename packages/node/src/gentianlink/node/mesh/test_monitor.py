import random

import attrs

from gentianlink.core.node_record import NodeRecord
from gentianlink.core.node_state import NodeState
from gentianlink.core.settings import MeshSettings
from gentianlink.node.applied_catalogue import AppliedCatalogue
from gentianlink.node.membership import Membership
from gentianlink.node.mesh.link import Link
from gentianlink.node.mesh.link_close_reason import LinkCloseReason
from gentianlink.node.mesh.mesh import Mesh
from gentianlink.node.mesh.monitor import Monitor

OWN = NodeRecord("own", 100, 1, "r", "r-1", "127.0.0.1", 1, 2, 3)
PEER = attrs.evolve(OWN, node_id="peer")


def make_monitor():
    membership = Membership(OWN, lambda *change: None)
    membership.merge([PEER], [], 0)
    mesh = Mesh(AppliedCatalogue(lambda: None), membership)
    mesh.links["peer"] = Link("peer")
    monitor = Monitor(membership, mesh, MeshSettings(), lambda: None, random.Random(1))
    return monitor, membership, mesh.links["peer"]


def tick_until(monitor, start_ms, end_ms):
    for now_ms in range(start_ms, end_ms + 1, 200):
        monitor.tick(now_ms)


class TestMonitor:
    def test_silent_link_is_closed(self):
        monitor, _, link = make_monitor()
        tick_until(monitor, 0, 2800)
        assert not link.is_closed
        monitor.tick(3000)
        assert link.close_reason is LinkCloseReason.SILENT

    def test_link_with_recent_frames_stays_open(self):
        monitor, _, link = make_monitor()
        for now_ms in range(0, 30_000, 200):
            link.last_frame_ms = now_ms - now_ms % 1000
            monitor.tick(now_ms)
        assert not link.is_closed

    def test_paused_node_extends_timers_and_publishes_its_record(self):
        monitor, membership, link = make_monitor()
        tick_until(monitor, 0, 1000)
        membership.suspect("peer", 1000)
        monitor.tick(31_000)
        assert not link.is_closed
        assert membership.nodes["peer"].state is NodeState.SUSPECT
        assert membership.own_record == attrs.evolve(OWN, sequence=2)
        tick_until(monitor, 31_200, 34_800)
        assert membership.nodes["peer"].state is NodeState.SUSPECT
        monitor.tick(35_000)
        assert membership.nodes["peer"].state is NodeState.DEAD

    def test_late_tick_under_load_does_not_count_as_pause(self):
        monitor, membership, _ = make_monitor()
        monitor.tick(0)
        monitor.tick(1400)
        assert membership.own_record == OWN
