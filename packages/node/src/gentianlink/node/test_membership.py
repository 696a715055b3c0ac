import attrs
import pytest

from gentianlink.core.node_record import NodeRecord
from gentianlink.core.node_state import NodeState
from gentianlink.core.target_record import TargetRecord
from gentianlink.core.target_state import TargetState
from gentianlink.node.membership import (
    DEAD_AFTER_MS,
    Membership,
)
from gentianlink.node.node_timers import RECENTLY_DEAD_MS, TOMBSTONE_MS
from gentianlink.node.own_refutation import REFUTATION_PERIOD_MS, RIVAL_PERIOD_MAX_MS


def make_node(node_id, incarnation=100, sequence=1, state=NodeState.ALIVE):
    return NodeRecord(
        node_id, incarnation, sequence, "r", "r-1", "127.0.0.1", 1, 2, 3, state
    )


def make_target(node_id, incarnation=100, sequence=1, state=TargetState.READY):
    return TargetRecord("inquiry", "t", node_id, incarnation, sequence, state, 10)


OWN = make_node("own")
SUSPECT = make_node("b", state=NodeState.SUSPECT)
DEAD = make_node("b", state=NodeState.DEAD)


def make_membership(*nodes, targets=(), own=OWN):
    changes = []
    membership = Membership(own, lambda *change: changes.append(change))
    membership.merge(nodes, targets, 0)
    changes.clear()
    return membership, changes


class TestMembership:
    def test_suspect_that_does_not_refute_is_declared_dead(self):
        membership, changes = make_membership(make_node("b"))
        membership.suspect("b", 1000)
        membership.check(1000 + DEAD_AFTER_MS - 1)
        assert membership.nodes["b"] == SUSPECT
        membership.check(1000 + DEAD_AFTER_MS)
        assert membership.nodes["b"] == DEAD
        assert changes == [([SUSPECT], [], None), ([DEAD], [], None)]

    def test_suspect_that_refutes_stays_alive(self):
        membership, _ = make_membership(make_node("b"))
        membership.suspect("b", 1000)
        membership.merge([make_node("b", sequence=2)], [], 2000)
        membership.check(1000 + DEAD_AFTER_MS)
        assert membership.nodes["b"] == make_node("b", sequence=2)

    def test_each_suspicion_has_the_full_time_to_refute(self):
        membership, _ = make_membership(make_node("b"))
        membership.suspect("b", 0)
        membership.merge([make_node("b", sequence=2)], [], 3000)
        membership.suspect("b", 3500)
        membership.check(DEAD_AFTER_MS + 3499)
        assert membership.nodes["b"].state is NodeState.SUSPECT

    def test_suspicion_of_a_former_process_does_not_count(self):
        membership, _ = make_membership(make_node("b"))
        membership.merge([DEAD], [], 0)
        restarted = make_node("b", incarnation=200, state=NodeState.SUSPECT)
        membership.merge([restarted], [], 3_600_000)
        membership.check(3_600_000 + DEAD_AFTER_MS - 1)
        assert membership.nodes["b"] == restarted

    def test_node_refutes_suspicion_or_death_of_itself(self):
        for state in (NodeState.SUSPECT, NodeState.DEAD):
            membership, changes = make_membership()
            membership.merge([make_node("own", sequence=4, state=state)], [], 0)
            assert membership.own_record == make_node("own", sequence=5)
            assert changes == [([make_node("own", sequence=5)], [], None)]

    def test_refutations_are_rate_limited_and_none_is_lost(self):
        membership, changes = make_membership()
        for sequence in range(1, 50):
            received = make_node("own", sequence=sequence, state=NodeState.DEAD)
            membership.merge([received], [], sequence)
        assert len(changes) == 1
        membership.check(1 + REFUTATION_PERIOD_MS)
        assert membership.own_record == make_node("own", sequence=50)
        assert len(changes) == 2

    def test_two_processes_with_one_name_do_not_flood_the_fleet(self):
        membership, changes = make_membership()
        for now_ms in range(0, 60_000, 100):
            rival = make_node("own", membership.own_record.incarnation + 1)
            membership.merge([rival], [], now_ms)
        assert len(changes) <= 12
        membership.check(60_000 + RIVAL_PERIOD_MAX_MS)
        assert membership.own_record.incarnation == rival.incarnation + 1

    def test_restart_with_a_clock_behind_still_gets_a_higher_incarnation(self):
        membership, _ = make_membership()
        membership.publish_target("inquiry", "t", TargetState.READY, 10, 0)
        membership.merge([make_node("own", incarnation=900, sequence=7)], [], 0)
        assert membership.own_record == make_node("own", incarnation=901)
        assert membership.targets == {}

    @pytest.mark.proves("no-dangling-route", "reordered", "restart")
    def test_targets_of_a_former_incarnation_are_removed(self):
        membership, _ = make_membership(make_node("b"), targets=[make_target("b")])
        membership.merge([make_node("b", incarnation=200)], [], 0)
        assert membership.targets == {}
        later = membership.merge([], [make_target("b", sequence=99)], 0)
        assert later == [make_node("b", incarnation=200)]
        assert membership.targets == {}

    def test_target_of_an_unknown_node_or_incarnation_is_ignored(self):
        membership, changes = make_membership(make_node("b"))
        targets = [make_target("c"), make_target("b", incarnation=200)]
        assert membership.merge([], targets, 0) == []
        assert (membership.targets, changes) == ({}, [])

    def test_sender_of_an_outdated_record_gets_the_later_one(self):
        membership, changes = make_membership(make_node("b"))
        membership.merge([DEAD], [], 0)
        changes.clear()
        assert membership.merge([make_node("b"), DEAD], [], 0, "c") == [DEAD]
        assert changes == []

    def test_tombstone_rejects_old_records_for_a_bounded_time(self):
        membership, _ = make_membership(make_node("b"), targets=[make_target("b")])
        membership.merge([DEAD], [], 0)
        membership.merge([make_node("b")], [make_target("b")], TOMBSTONE_MS - 1)
        membership.check(TOMBSTONE_MS - 1)
        assert membership.nodes["b"] == DEAD
        membership.check(TOMBSTONE_MS)
        assert (set(membership.nodes), membership.targets) == ({"own"}, {})

    def test_death_received_before_an_older_record_wins(self):
        membership, _ = make_membership()
        membership.merge([DEAD], [], 0)
        membership.merge([make_node("b")], [], 1)
        assert membership.nodes["b"] == DEAD

    def test_digest_covers_live_records_only(self):
        first, _ = make_membership(make_node("b"), targets=[make_target("b")])
        second, _ = make_membership()
        assert first.digest != second.digest
        first.merge([DEAD], [], 0)
        assert (first.digest, first.buckets.count) == (second.digest, 1)
        refutation = make_node("b", sequence=2)
        first.merge([refutation], [], 1)
        second.merge([refutation], [make_target("b")], 1)
        assert (first.digest, first.buckets.count) == (second.digest, 3)

    def test_left_target_is_not_in_the_digest_and_is_removed(self):
        left = make_target("b", sequence=2, state=TargetState.LEFT)
        membership, _ = make_membership(
            make_node("b"), targets=[make_target("b"), left]
        )
        without, _ = make_membership(make_node("b"))
        assert membership.digest == without.digest
        membership.merge([], [make_target("b")], 0)
        assert membership.get_targets_of_service("inquiry") == [left]
        membership.check(TOMBSTONE_MS)
        assert membership.targets == {}

    def test_node_corrects_wrong_records_of_its_targets(self):
        membership, _ = make_membership()
        membership.merge([], [make_target("own", sequence=7)], 0)
        assert membership.get_targets_of_node("own") == [
            attrs.evolve(
                make_target("own", sequence=8, state=TargetState.LEFT), slots=0
            )
        ]

    def test_death_without_suspicion_has_a_grace_period(self):
        membership, _ = make_membership(make_node("b"), targets=[make_target("b")])
        membership.merge([DEAD], [], 1000)
        assert membership.grace == {"b"}
        membership.take_changed_services()
        assert not membership.check(1000 + DEAD_AFTER_MS - 1)
        assert membership.check(1000 + DEAD_AFTER_MS)
        assert membership.take_changed_services() == {"inquiry"}
        assert membership.grace == set()
        membership.check(1000 + RECENTLY_DEAD_MS)
        assert membership.recently_dead == {}

    def test_pause_of_this_node_extends_suspicions(self):
        membership, _ = make_membership(make_node("b"))
        membership.suspect("b", 0)
        membership.extend_timers(30_000)
        membership.check(30_000 + DEAD_AFTER_MS - 1)
        assert membership.nodes["b"] == SUSPECT

    def test_node_that_left_does_not_refute(self):
        membership, _ = make_membership()
        membership.leave(0)
        membership.merge([make_node("own", sequence=9, state=NodeState.DEAD)], [], 0)
        assert membership.own_record == make_node(
            "own", sequence=2, state=NodeState.LEFT
        )

    def test_views_converge_in_any_order_of_arrival(self):
        records = [
            make_node("b"),
            SUSPECT,
            make_node("b", sequence=2),
            make_node("b", sequence=2, state=NodeState.DEAD),
            make_node("b", incarnation=200),
        ]
        digests = set()
        for shift in range(len(records)):
            membership, _ = make_membership(*records[shift:], *records[:shift][::-1])
            digests.add(membership.digest)
        assert len(digests) == 1
