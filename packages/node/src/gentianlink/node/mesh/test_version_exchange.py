import random

import pytest

from gentianlink.core.catalogue import Catalogue
from gentianlink.core.codec import compute_digest, encode
from gentianlink.core.entry import Entry
from gentianlink.core.service import Service
from gentianlink.core.settings import MeshSettings
from gentianlink.core.work_class import WorkClass
from gentianlink.node.applied_catalogue import AppliedCatalogue
from gentianlink.node.mesh import mesh_pb2
from gentianlink.node.mesh.version_exchange import (
    MAX_CONTENT_BYTES,
    TOO_LARGE_WAIT_MS,
    USELESS_CONTENT_BACKOFF_MS,
    VersionExchange,
)
from gentianlink.node.mesh.version_fetch import FETCH_TIMEOUT_MS, SILENT_BACKOFF_MS
from gentianlink.ops.delta import compute_delta

INQUIRY = Service("inquiry", "branch")
SETTINGS = MeshSettings(push_links=1, snapshots_per_s=2)


def make_version(version):
    name = f"balance-{version}"
    entry = Entry(name, "branch", "inquiry", WorkClass.READ, "/balance")
    return Catalogue(version, (INQUIRY,), (entry,))


class FakeLink:
    """Records the frames instead of sending them."""

    def __init__(self, peer_id):
        self.peer_id = peer_id
        self.version = 0
        self.offered_version = 0
        self.is_closed = False
        self.frames = []

    def send(self, frame):
        self.frames.append(frame)

    def take(self):
        """Return descriptions of the frames since the last call."""
        taken = [describe(frame) for frame in self.frames]
        self.frames.clear()
        return taken


def describe(frame):
    kind = frame.WhichOneof("body")
    body = getattr(frame, kind)
    if kind == "content":
        return "content", body.version, len(body.snapshots), len(body.deltas)
    if kind == "busy":
        return "busy", body.wait_ms
    return kind, body.version


class FakeNode:
    """Version exchange of a node with links to fake peers."""

    def __init__(self, version=0, settings=SETTINGS, seed=1):
        self.applied = AppliedCatalogue(lambda: None)
        self.exchange = VersionExchange(self.applied, settings, random.Random(seed))
        self.links = [FakeLink("a"), FakeLink("b"), FakeLink("c")]
        for number in range(1, version + 1):
            self.advance(number)

    def advance(self, version):
        delta = compute_delta(self.applied.catalogue, make_version(version))
        self.applied.apply_deltas([delta], 0)

    def take(self):
        return {link.peer_id: link.take() for link in self.links if link.frames}

    def receive(self, content, link, now_ms=0):
        self.exchange.handle_content(content, link, self.links, now_ms)

    def receive_have(self, version, link, now_ms=0):
        self.exchange.handle_have(version, link, self.links, now_ms)


def make_deltas(first, last):
    deltas = [
        encode(compute_delta(make_version(version), make_version(version + 1)))
        for version in range(first, last)
    ]
    return mesh_pb2.Content(version=last, deltas=deltas)


def make_snapshot(version, data=None):
    catalogue = make_version(version)
    snapshot = mesh_pb2.Snapshot(
        version=version,
        digest=compute_digest(catalogue),
        data=data or encode(catalogue),
    )
    return mesh_pb2.Content(version=version, snapshots=[snapshot])


@pytest.fixture
def node():
    return FakeNode(1)


class TestVersionExchange:
    def test_content_on_few_links_and_have_on_the_rest(self, node):
        for link in node.links:
            link.version = 1
        node.advance(2)
        node.exchange.spread(node.links)
        frames = [frames for _, frames in sorted(node.take().items())]
        assert sorted(frames) == [
            [("content", 2, 0, 1)],
            [("have", 2)],
            [("have", 2)],
        ]

    def test_version_is_announced_once_to_each_neighbour(self):
        node = FakeNode(1, MeshSettings(push_links=0))
        node.advance(2)
        node.links[0].version = 2
        node.exchange.spread(node.links)
        assert node.take() == {"b": [("have", 2)], "c": [("have", 2)]}
        node.exchange.spread(node.links)
        assert node.take() == {}

    def test_received_content_is_not_sent_back(self, node):
        node.receive(make_deltas(1, 2), node.links[0])
        node.exchange.spread(node.links)
        assert sorted(node.take()) == ["b", "c"]

    def test_catch_up_by_a_chain_of_deltas(self):
        sender = FakeNode(5)
        sender.exchange.handle_fetch(2, sender.links[0], 0)
        assert sender.take() == {"a": [("content", 5, 0, 3)]}

    def test_neighbour_that_holds_the_version_gets_nothing(self, node):
        node.exchange.handle_fetch(1, node.links[0], 0)
        assert node.take() == {}

    @pytest.mark.proves("in-force", "mass-restart", "spread")
    def test_snapshots_are_limited(self, node):
        for link in node.links:
            node.exchange.handle_fetch(0, link, 100)
        assert node.take() == {
            "a": [("content", 1, 1, 0)],
            "b": [("content", 1, 1, 0)],
            "c": [("busy", 1001)],
        }
        node.exchange.handle_fetch(0, node.links[2], 1100)
        assert node.take() == {"c": [("content", 1, 1, 0)]}

    def test_snapshot_too_large_for_a_message_is_left_to_the_object_store(self):
        sender = FakeNode()
        service = Service("inquiry", "x" * MAX_CONTENT_BYTES)
        large = Catalogue(1, (service,))
        sender.applied.apply_snapshot(1, compute_digest(large), encode(large), 0)
        sender.exchange.handle_fetch(0, sender.links[0], 0)
        assert sender.take() == {"a": [("busy", TOO_LARGE_WAIT_MS + 1)]}

    def test_only_one_neighbour_is_asked(self, node):
        node.receive_have(2, node.links[0])
        node.receive_have(2, node.links[1])
        assert node.take() == {"a": [("fetch", 1)]}

    @pytest.mark.proves("in-force", "silent", "spread")
    def test_another_neighbour_is_asked_if_the_first_is_silent(self, node):
        node.receive_have(2, node.links[0], 0)
        node.receive_have(2, node.links[1], 1)
        node.take()
        node.exchange.request_later_version(node.links, FETCH_TIMEOUT_MS - 1)
        assert node.take() == {}
        node.exchange.request_later_version(node.links, FETCH_TIMEOUT_MS)
        assert node.take() == {"b": [("fetch", 1)]}
        node.exchange.request_later_version(node.links, 2 * FETCH_TIMEOUT_MS)
        assert node.take() == {}
        node.exchange.request_later_version(
            node.links, FETCH_TIMEOUT_MS + SILENT_BACKOFF_MS
        )
        assert node.take() == {"a": [("fetch", 1)]}

    @pytest.mark.proves("in-force", "cut", "spread")
    def test_another_neighbour_is_asked_if_the_link_is_cut(self, node):
        node.receive_have(2, node.links[0])
        node.receive_have(2, node.links[1])
        node.take()
        node.links[0].is_closed = True
        node.exchange.request_later_version(node.links, 1)
        assert node.take() == {"b": [("fetch", 1)]}

    def test_another_neighbour_is_asked_if_the_first_is_busy(self, node):
        node.receive_have(2, node.links[0])
        node.receive_have(2, node.links[1])
        node.take()
        busy = mesh_pb2.Busy(wait_ms=500)
        node.exchange.handle_busy(busy, node.links[0], node.links, 1)
        assert node.take() == {"b": [("fetch", 1)]}

    @pytest.mark.proves("in-force", "reordered", "spread")
    def test_deltas_that_do_not_chain_are_asked_for_again(self, node):
        node.receive(make_deltas(2, 3), node.links[0])
        assert node.take() == {"a": [("fetch", 1)]}
        wrong = compute_delta(Catalogue(1), make_version(3))
        content = mesh_pb2.Content(version=3, deltas=[encode(wrong)])
        node.receive(content, node.links[0])
        assert node.take() == {"a": [("fetch", 0)]}
        node.receive(make_snapshot(3), node.links[0])
        assert (node.applied.catalogue, node.take()) == (make_version(3), {})

    def test_pushed_deltas_ahead_of_the_answer_do_not_end_the_request(self, node):
        node.receive_have(3, node.links[0])
        assert node.take() == {"a": [("fetch", 1)]}
        node.receive(make_deltas(3, 4), node.links[0])
        assert node.take() == {}
        node.receive(make_deltas(1, 3), node.links[0])
        assert (node.applied.version, node.take()) == (3, {"a": [("fetch", 3)]})

    @pytest.mark.proves("in-force", "reordered", "spread")
    def test_answer_that_a_push_overtook_is_no_fault_of_the_neighbour(self, node):
        node.receive_have(2, node.links[0])
        node.receive(make_deltas(1, 2), node.links[1])
        node.receive_have(3, node.links[0])
        node.receive(make_deltas(1, 2), node.links[0])
        assert node.take() == {"a": [("fetch", 1), ("fetch", 2)]}

    @pytest.mark.proves("all-or-none", "reordered", "spread")
    def test_corrupt_snapshot_is_asked_for_elsewhere(self, node):
        node.receive_have(2, node.links[0])
        node.receive_have(2, node.links[1])
        node.take()
        node.receive(make_snapshot(2, encode(make_version(3))), node.links[0])
        assert node.applied.catalogue == make_version(1)
        assert node.take() == {"b": [("fetch", 1)]}
        node.receive(make_snapshot(2, b"{"), node.links[1])
        assert (node.applied.refused, node.take()) == ({}, {})
        node.exchange.request_later_version(node.links, USELESS_CONTENT_BACKOFF_MS)
        assert list(node.take().values()) == [[("fetch", 1)]]

    def test_useless_content_is_not_requested_again_at_once(self, node):
        node.receive_have(2, node.links[0])
        node.take()
        node.receive(mesh_pb2.Content(version=2), node.links[0])
        assert node.take() == {}

    @pytest.mark.proves("never-back", "reordered", "spread")
    def test_older_content_changes_nothing(self):
        node = FakeNode(3)
        node.receive(make_snapshot(2), node.links[0])
        node.receive(make_deltas(1, 2), node.links[0])
        assert (node.applied.catalogue, node.take()) == (make_version(3), {})

    def test_refused_version_is_sent_with_the_one_in_force(self, node):
        bad = Catalogue(2, (), make_version(2).entries)
        node.applied.apply_snapshot(2, compute_digest(bad), encode(bad), 0)
        node.exchange.handle_fetch(0, node.links[0], 0)
        [frame] = node.links[0].frames
        assert [item.version for item in frame.content.snapshots] == [1, 2]
        other = FakeNode()
        other.receive(frame.content, other.links[0])
        assert other.applied.catalogue == make_version(1)
        assert list(other.applied.refused) == [2]

    def test_refused_version_is_not_requested_again(self, node):
        bad = Catalogue(2, (), make_version(2).entries)
        node.applied.apply_snapshot(2, compute_digest(bad), encode(bad), 0)
        node.receive_have(2, node.links[0])
        assert node.take() == {}

    def test_no_frames_are_sent_if_every_node_reads_the_platform(self):
        node = FakeNode(1, MeshSettings(distribution="platform"))
        node.exchange.spread(node.links)
        node.receive_have(2, node.links[0])
        assert (node.exchange.version, node.take()) == (0, {})
