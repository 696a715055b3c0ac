import asyncio

import attrs
import pytest

from gentianlink.core.announcement import Announcement
from gentianlink.core.errors import AnnouncementInvalid
from gentianlink.core.node_record import NodeRecord
from gentianlink.core.target_state import TargetState
from gentianlink.node.membership import Membership
from gentianlink.node.proxy.local_targets import MAX_TARGETS, LocalTargets

OWN = NodeRecord("own", 100, 1, "r", "r-1", "127.0.0.1", 1, 2, 3)
READY = Announcement("inquiry", "t", 9000, 10, "ready")
LEASE_MS = 3000
FAR_MS = 1e15


def make_targets():
    published = []

    def record_published(nodes, targets, source):
        published.extend((record.state.value, record.slots) for record in targets)

    membership = Membership(OWN, record_published)
    return LocalTargets(membership, LEASE_MS), membership, published


def announce(targets, now_ms=0, **changes):
    targets.announce(attrs.evolve(READY, **changes), now_ms)


class TestLocalTargets:
    def test_each_change_of_state_is_published_once(self):
        targets, _, published = make_targets()
        for state in ("starting", "ready", "ready", "draining", "left"):
            announce(targets, state=state)
        assert published == [
            ("starting", 10),
            ("ready", 10),
            ("draining", 10),
            ("left", 10),
        ]
        assert targets.get_all() == []

    @pytest.mark.proves("no-new-work", "lease-lapse", "announce")
    def test_heartbeats_keep_the_lease(self):
        targets, _, published = make_targets()
        announce(targets, 0)
        announce(targets, 2000)
        targets.expire(4999)
        assert published == [("ready", 10)]
        targets.expire(5000)
        assert published == [("ready", 10), ("left", 10)]

    def test_pause_of_this_node_does_not_end_leases(self):
        targets, _, published = make_targets()
        targets.expire(0)
        announce(targets, 100)
        targets.expire(200)
        targets.expire(30_200)
        assert published == [("ready", 10)]
        for now_ms in range(30_400, 33_400, 200):
            targets.expire(now_ms)
        assert published == [("ready", 10), ("left", 10)]

    def test_target_that_restarted_after_a_drain_gets_a_new_gate(self):
        targets, _, published = make_targets()
        announce(targets, state="draining")
        gate = targets.get("t").gate
        announce(targets, state="ready")
        assert published == [("draining", 10), ("left", 10), ("ready", 10)]
        assert targets.get("t").gate is not gate

    @pytest.mark.proves("no-new-work", "reordered", "announce")
    def test_restart_on_another_port_replaces_the_former_process(self):
        targets, _, published = make_targets()
        announce(targets)
        announce(targets, port=9001)
        announce(targets, state="left")
        assert targets.get("t").port == 9001
        assert published == [("ready", 10), ("left", 10), ("ready", 10)]

    def test_announcement_of_more_slots_admits_queued_calls(self):
        async def run():
            targets, _, published = make_targets()
            announce(targets, slots=1)
            gate = targets.get("t").gate
            assert await gate.enter(5, FAR_MS, 0.0) is None
            waiter = asyncio.create_task(gate.enter(5, FAR_MS, 0.0))
            await asyncio.sleep(0)
            announce(targets, slots=2)
            assert await waiter is None
            announce(targets, slots=1)
            gate.leave(0.0, 0.0)
            assert (gate.in_flight, gate.free_slots) == (1, 0)
            return published

        assert asyncio.run(run()) == [("ready", 1), ("ready", 2), ("ready", 1)]

    def test_new_incarnation_of_the_node_announces_its_targets_again(self):
        targets, membership, published = make_targets()
        announce(targets)
        membership.merge([attrs.evolve(OWN, incarnation=900)], [], 0)
        targets.expire(10)
        assert published == [("ready", 10), ("ready", 10)]
        records = membership.get_targets_of_node("own")
        assert [record.incarnation for record in records] == [901]

    @pytest.mark.proves("no-new-work", "reordered", "drain")
    def test_drain_of_the_node_is_not_undone_by_heartbeats(self):
        targets, _, published = make_targets()
        announce(targets)
        targets.drain_all(0)
        announce(targets)
        assert published == [("ready", 10), ("draining", 10)]
        assert targets.get("t").state is TargetState.DRAINING

    @pytest.mark.proves("no-dangling-route", "bad-input", "announce")
    @pytest.mark.parametrize(
        ("changes", "field"),
        [
            ({"service": ""}, "service"),
            ({"target_id": "a/b"}, "target_id"),
            ({"target_id": "x" * 129}, "target_id"),
            ({"port": 0}, "port"),
            ({"port": 70_000}, "port"),
            ({"slots": 0}, "slots"),
            ({"slots": -1}, "slots"),
            ({"state": "sleepy"}, "state"),
            ({"address": "example.test"}, "address"),
        ],
    )
    def test_invalid_announcement_is_refused_naming_the_field(self, changes, field):
        targets, _, published = make_targets()
        announce(targets)
        with pytest.raises(AnnouncementInvalid, match=field):
            announce(targets, **changes)
        assert published == [("ready", 10)]
        assert len(targets.get_all()) == 1

    def test_targets_of_a_node_are_bounded(self):
        targets, _, _ = make_targets()
        for number in range(MAX_TARGETS):
            announce(targets, target_id=f"t{number}")
        with pytest.raises(AnnouncementInvalid):
            announce(targets, target_id="one-more")
