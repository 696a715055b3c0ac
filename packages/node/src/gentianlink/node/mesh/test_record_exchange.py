import collections

import attrs
import pytest

from gentianlink.core.catalogue import Catalogue
from gentianlink.core.entry import Entry
from gentianlink.core.errors import CodecError
from gentianlink.core.node_record import NodeRecord
from gentianlink.core.node_state import NodeState
from gentianlink.core.service import Service
from gentianlink.core.target_record import TargetRecord
from gentianlink.core.target_state import TargetState
from gentianlink.core.work_class import WorkClass
from gentianlink.node.membership import DEAD_AFTER_MS, Membership
from gentianlink.node.mesh import mesh_pb2
from gentianlink.node.mesh.convert import encode_records
from gentianlink.node.mesh.record_exchange import (
    JOIN_MIN_MISSING_RECORDS,
    RecordExchange,
)
from gentianlink.node.table_builder import TableBuilder

ENTRY = Entry("inquiry", "owner", "inquiry", WorkClass.READ, "/inquiry")
CATALOGUE = Catalogue(1, (Service("inquiry", "owner", 0.0),), (ENTRY,))
HANDLERS = {
    "records": "handle_records",
    "record_digests": "handle_digests",
    "record_hashes": "handle_hashes",
    "record_request": "handle_request",
}


def make_node(node_id, sequence=1, state=NodeState.ALIVE):
    place = ("r", "r-1", "127.0.0.1", 1, 2, 3)
    return NodeRecord(node_id, 100, sequence, *place, state)


def make_target(node_id):
    return TargetRecord("inquiry", "t", node_id, 100, 1, TargetState.READY, 10)


class Member:
    def __init__(self, name, records=(), targets=()):
        self.links = {}
        self.delayed = []
        self.sent = []
        self.membership = Membership(make_node(name), self._spread)
        self.exchange = RecordExchange(
            self.membership, self.links, lambda _, work: self.delayed.append(work)
        )
        self.membership.merge(records, targets, 0)
        self.run_delayed()
        self.sent.clear()

    def _spread(self, nodes, targets, source):
        self.exchange.spread(nodes, targets, source, 0)

    def run_delayed(self):
        while self.delayed:
            self.delayed.pop(0)()

    def connect(self, other):
        self.links[other.membership.own_record.node_id] = FakeLink(self, other)

    def get_sent(self, kind):
        return [frame for frame in self.sent if frame.WhichOneof("body") == kind]


class RoutingMember(Member):
    """Member that holds the records of all others and logs its endpoints."""

    def __init__(self, name, names):
        self.builder = None
        self.history = []
        others = [item for item in names if item != name]
        super().__init__(name, map(make_node, others), map(make_target, others))
        state = TargetState.READY
        self.builder = TableBuilder(self.membership)
        self.membership.publish_target("inquiry", "t", state, 10, 0)
        self.run_delayed()

    def _spread(self, nodes, targets, source):
        super()._spread(nodes, targets, source)
        if self.builder is not None:
            self.history.append(self.get_endpoints())

    def get_endpoints(self):
        table = self.builder.build(CATALOGUE)
        return {item.node_id for item in table.routes["/inquiry"].endpoints}

    def lose(self, names):
        for name in names:
            self.membership.suspect(name, 0)
        self.membership.check(DEAD_AFTER_MS)
        self.run_delayed()
        self.get_endpoints()
        self.history.clear()


class FakeLink:
    def __init__(self, sender, receiver):
        self.peer_id = receiver.membership.own_record.node_id
        self.records_digest = 0
        self.queue = collections.deque()
        self._sender = sender
        self._receiver = receiver

    def send(self, frame):
        self._sender.sent.append(frame)
        self.queue.append(frame)

    def deliver(self):
        own_id = self._sender.membership.own_record.node_id
        back = self._receiver.links[own_id]
        while self.queue:
            frame = self.queue.popleft()
            kind = frame.WhichOneof("body")
            handler = getattr(self._receiver.exchange, HANDLERS[kind])
            handler(getattr(frame, kind), back)


def connect(*members):
    for member in members:
        for other in members:
            if member is not other:
                member.connect(other)


def is_busy(member):
    return member.delayed or any(link.queue for link in member.links.values())


def deliver_all(*members):
    while any(map(is_busy, members)):
        for member in members:
            for link in member.links.values():
                link.deliver()
            member.run_delayed()


def open_link(member, other):
    record = other.membership.own_record
    hello = mesh_pb2.Hello(
        records_digest=other.exchange.digest, records=other.exchange.count
    )
    link = member.links[record.node_id]
    member.exchange.open_link(record, hello, link, 0)


class TestRecordExchange:
    def test_changes_within_the_delay_share_one_frame(self):
        member, other = Member("a"), Member("b")
        connect(member, other)
        for index in range(20):
            member.membership.merge([make_node(f"n{index}")], [], 0)
        member.run_delayed()
        assert len(member.sent) == 1
        assert len(member.sent[0].records.nodes) == 20

    def test_frequent_changes_are_sent_once_per_interval(self):
        member, other = Member("a"), Member("b")
        connect(member, other)
        waits_s = []
        member.exchange = RecordExchange(
            member.membership, member.links, lambda wait_s, _: waits_s.append(wait_s)
        )
        for now_ms in (1000, 1100):
            member.exchange.spread([make_node("n")], [], None, now_ms)
            member.exchange._flush_scheduled()
            member.exchange.flush(now_ms + 30)
        member.exchange.spread([make_node("n")], [], None, 10_000)
        assert waits_s == [0.03, 0.43, 0.03]

    def test_changes_go_only_to_neighbours_that_may_lack_them(self):
        members = [Member(name) for name in "abcd"]
        connect(*members)
        first = members[0]
        changes = encode_records([make_node("n")], []).records
        first.exchange.handle_records(changes, first.links["b"])
        first.exchange.handle_records(changes, first.links["c"])
        first.run_delayed()
        assert {name: len(link.queue) for name, link in first.links.items()} == {
            "b": 0,
            "c": 0,
            "d": 1,
        }

    def test_comparison_sends_only_what_differs(self):
        records = [make_node(f"n{index}") for index in range(400)]
        targets = [make_target(record.node_id) for record in records]
        first = Member("a", [*records, make_node("x")], targets)
        second = Member("b", [*records, make_node("y")], targets)
        connect(first, second)
        open_link(first, second)
        open_link(second, first)
        deliver_all(first, second)
        assert first.exchange.digest == second.exchange.digest
        for member in (first, second):
            sent = [frame.records.nodes for frame in member.get_sent("records")]
            assert sum(map(len, sent)) <= 2
            assert sum(frame.ByteSize() for frame in member.sent) < 5000

    def test_equal_digests_start_no_comparison(self):
        first, second = Member("a", [make_node("b")]), Member("b", [make_node("a")])
        connect(first, second)
        open_link(first, second)
        open_link(second, first)
        assert first.sent + second.sent == []

    def test_joining_node_gets_all_records_once_and_does_not_forward_them(self):
        records = [
            make_node(f"n{index}") for index in range(2 * JOIN_MIN_MISSING_RECORDS)
        ]
        sender, other = Member("a", records), Member("b", records)
        joiner = Member("j")
        connect(sender, other, joiner)
        open_link(joiner, sender)
        open_link(joiner, other)
        deliver_all(sender, other, joiner)
        assert joiner.exchange.count >= 2 * JOIN_MIN_MISSING_RECORDS
        forwarded = joiner.get_sent("records")
        own_records_of_members = 3
        copies = sum(len(frame.records.nodes) for frame in forwarded)
        assert copies <= own_records_of_members * len(joiner.links)
        assert not other.get_sent("record_hashes")

    def test_healed_partition_refutes_deaths(self):
        inside = make_node("b")
        first = Member("a", [inside])
        dead = attrs.evolve(inside, state=NodeState.DEAD)
        first.membership.merge([dead], [], 0)
        first.run_delayed()
        second = Member("b", [make_node("a"), make_node("c")])
        third = Member("c", [inside])
        connect(first, second, third)
        del first.links["c"], third.links["a"]
        open_link(second, first)
        open_link(first, second)
        deliver_all(first, second, third)
        refuted = make_node("b", sequence=2)
        for member in (first, second, third):
            assert member.membership.nodes["b"] == refuted
        assert first.exchange.digest == second.exchange.digest

    @pytest.mark.proves("no-dangling-route", "partition", "spread")
    @pytest.mark.proves("no-dangling-route", "partition", "route")
    def test_both_sides_of_a_partition_converge_and_no_route_flaps(self):
        sides = [[f"{side}{number}" for number in range(6)] for side in "ab"]
        members = {
            name: RoutingMember(name, sides[0] + sides[1])
            for name in sides[0] + sides[1]
        }
        for side, lost in (sides, sides[::-1]):
            connect(*(members[name] for name in side))
            for name in side:
                members[name].lose(lost)
                assert members[name].get_endpoints() == set(side)
        deliver_all(*members.values())
        for member in members.values():
            member.sent.clear()
        first, second = members["a0"], members["b0"]
        connect(first, second)
        open_link(first, second)
        open_link(second, first)
        deliver_all(*members.values())
        assert len({member.exchange.digest for member in members.values()}) == 1
        for name, member in members.items():
            assert member.get_endpoints() == set(members)
            own_side = next(side for side in sides if name in side)
            assert all(routes.issuperset(own_side) for routes in member.history)
        copies = sum(
            len(frame.records.nodes) + len(frame.records.targets)
            for member in members.values()
            for frame in member.get_sent("records")
        )
        links = sum(len(member.links) for member in members.values())
        records_published = 2 * len(members)
        assert copies <= records_published * links

    def test_rate_of_comparisons_with_a_neighbour_is_limited(self):
        first, second = Member("a", [make_node("n")]), Member("b")
        connect(first, second)
        message = mesh_pb2.RecordDigests(digests=second.membership.buckets.digests)
        for _ in range(10):
            first.exchange.handle_digests(message, first.links["b"])
        assert len(first.get_sent("record_hashes")) == 1

    @pytest.mark.parametrize(
        ("handler", "message"),
        [
            ("handle_digests", mesh_pb2.RecordDigests(digests=[1, 2])),
            ("handle_hashes", mesh_pb2.RecordHashes(buckets=[{"number": 999}])),
            ("handle_request", mesh_pb2.RecordRequest(buckets=[{"number": 999}])),
            ("handle_records", mesh_pb2.Records(nodes=[{"node_id": "n"}])),
            ("handle_records", mesh_pb2.Records(targets=[{}] * 2000)),
        ],
    )
    def test_malformed_message_raises_codec_error(self, handler, message):
        first, second = Member("a"), Member("b")
        connect(first, second)
        with pytest.raises(CodecError):
            getattr(first.exchange, handler)(message, first.links["b"])
