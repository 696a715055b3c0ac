"""Random histories of faults: a node never serves an invalid version or goes back."""

import asyncio
import random

import pytest

from gentianlink.core.errors import PlatformError
from gentianlink.core.node_record import NodeRecord
from gentianlink.core.settings import MeshSettings
from gentianlink.node.applied_catalogue import AppliedCatalogue
from gentianlink.node.head_reader import HeadReader
from gentianlink.node.membership import Membership
from gentianlink.node.mesh import mesh_pb2
from gentianlink.node.mesh.version_exchange import VersionExchange
from gentianlink.node.test_head_reader import ALL_DOWN, Reading, make_content
from gentianlink.store.catalogue_store import CatalogueStore
from gentianlink.testing.fake_platform import FakeObjectClient, FakeTableClient

NAMES = ("a", "b", "c", "d")
STEPS = 400
TICK_MS = 100
SETTINGS = MeshSettings(push_links=1, readers=1)


class QueuedLink:
    """Sending side of a link that queues its frames in a list."""

    def __init__(self, own, peer):
        self.own_id = own
        self.peer_id = peer
        self.version = 0
        self.offered_version = 0
        self.is_closed = False
        self.frames = []

    def send(self, frame):
        self.frames.append(frame.SerializeToString())


class Incarnation:
    """One process of a node, from its start to its end."""

    def __init__(self, name, platform, rng):
        self.table = FakeTableClient(platform.table.state)
        self.objects = FakeObjectClient(platform.objects.state)
        self.applied = AppliedCatalogue(lambda: None, self.spread)
        self.exchange = VersionExchange(self.applied, SETTINGS, rng)
        self.version_before = 0
        self.links = {
            peer: QueuedLink(name, peer) for peer in NAMES if peer is not name
        }
        records = [
            NodeRecord(peer, 1, 1, "r", "north", "127.0.0.1", 1, 2, 3) for peer in NAMES
        ]
        own = records[NAMES.index(name)]
        membership = Membership(own, lambda *changes: None)
        membership.merge(records, [], 0)
        self.reader = HeadReader(
            CatalogueStore(self.table, self.objects),
            self.applied,
            membership,
            SETTINGS,
            lambda: max(link.version for link in self.links.values()),
            lambda: True,
            rng,
        )

    def spread(self):
        self.exchange.spread(list(self.links.values()))

    def set_outage(self, is_table_down, are_objects_down):
        self.table.plan.faults = ALL_DOWN if is_table_down else {}
        self.objects.plan.faults = ALL_DOWN if are_objects_down else {}


class History:
    """A fleet under random faults; checks the served versions after every step."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.platform = Reading()
        self.now_ms = 0
        self.nodes = {name: self.start(name) for name in NAMES}
        self.served = dict.fromkeys(NAMES, 0)
        self.valid = {0}
        self.outage = (False, False)

    def start(self, name):
        return Incarnation(name, self.platform, self.rng)

    def accept(self):
        if any(self.outage):
            return
        if self.rng.random() < 0.3:
            self.platform.accept_invalid()
            return
        head, _ = asyncio.run(self.platform.store.read_head())
        self.platform.accept(make_content(head.version + 1))
        self.valid.add(head.version + 1)

    def restart(self):
        for name in self.rng.sample(NAMES, self.rng.choice((1, 1, 2, 4))):
            self.nodes[name] = self.start(name)
            for node in self.nodes.values():
                if name in node.links:
                    node.links[name] = QueuedLink(node.links[name].own_id, name)
                    node.exchange.open_link(node.links[name])

    def change_outage(self):
        self.outage = self.rng.choice(
            ((False, False), (False, False), (True, False), (False, True), (True, True))
        )

    def read(self):
        node = self.nodes[self.rng.choice(NAMES)]
        node.set_outage(*self.outage)
        asyncio.run(node.reader.read_once(self.now_ms))

    def deliver(self):
        links = [link for node in self.nodes.values() for link in node.links.values()]
        pending = [link for link in links if link.frames]
        if not pending:
            return
        link = self.rng.choice(pending)
        number = self.rng.randrange(len(link.frames))
        data = link.frames[number]
        if self.rng.random() < 0.6:
            del link.frames[number]
        if self.rng.random() < 0.1:
            return
        self.handle(link, mesh_pb2.Frame.FromString(data))

    def deliver_intact(self):
        """Deliver the first frame of some link; return whether there was one."""
        links = [link for node in self.nodes.values() for link in node.links.values()]
        pending = [link for link in links if link.frames]
        if not pending:
            return False
        link = self.rng.choice(pending)
        frame = mesh_pb2.Frame.FromString(link.frames.pop(0))
        self.handle(link, frame, is_damaged=False)
        return True

    def handle(self, link, frame, is_damaged=True):
        node = self.nodes[link.peer_id]
        reverse_link = node.links[link.own_id]
        links = list(node.links.values())
        kind = frame.WhichOneof("body")
        if kind == "have":
            node.exchange.handle_have(
                frame.have.version, reverse_link, links, self.now_ms
            )
        if kind == "fetch":
            node.exchange.handle_fetch(frame.fetch.version, reverse_link, self.now_ms)
        if kind == "busy":
            node.exchange.handle_busy(frame.busy, reverse_link, links, self.now_ms)
        if kind == "content":
            if is_damaged:
                self.damage(frame.content)
            node.exchange.handle_content(
                frame.content, reverse_link, links, self.now_ms
            )

    def damage(self, content):
        if self.rng.random() > 0.1:
            return
        for snapshot in content.snapshots:
            snapshot.data = snapshot.data.replace(b"balance", b"balanxe")
        for number, data in enumerate(content.deltas):
            content.deltas[number] = data[: self.rng.randrange(len(data))]

    def tick(self):
        self.now_ms += TICK_MS
        for node in self.nodes.values():
            node.exchange.request_later_version(list(node.links.values()), self.now_ms)

    def check(self):
        for name, node in self.nodes.items():
            assert node.applied.version in self.valid
            assert node.applied.version >= node.version_before
            node.version_before = node.applied.version
            if node.applied.is_current:
                assert node.applied.version >= self.served[name]
                self.served[name] = node.applied.version

    def run(self):
        weights = {
            self.accept: 10,
            self.restart: 3,
            self.change_outage: 4,
            self.read: 15,
            self.deliver: 55,
            self.tick: 13,
        }
        for step in self.rng.choices([*weights], [*weights.values()], k=STEPS):
            step()
            self.check()
        self.settle()

    def settle(self):
        """End all faults; every node must then serve the latest valid version."""
        self.outage = (False, False)
        for _ in range(40):
            self.tick()
            for node in self.nodes.values():
                node.set_outage(False, False)
                asyncio.run(node.reader.read_once(self.now_ms))
            self.check()
        versions = {node.applied.version for node in self.nodes.values()}
        assert versions == {max(self.valid)}
        assert all(node.applied.is_current for node in self.nodes.values())


class TestNeverBack:
    @pytest.mark.proves("never-back", "mass-restart", "restart")
    @pytest.mark.proves("never-back", "bad-input", "restart")
    @pytest.mark.proves("never-back", "reordered", "restart")
    @pytest.mark.proves("all-or-none", "mass-restart", "apply")
    @pytest.mark.proves("all-or-none", "reordered", "apply")
    @pytest.mark.parametrize("seed", range(60))
    def test_random_history(self, seed):
        try:
            History(seed).run()
        except PlatformError as error:
            raise AssertionError(error) from error

    @pytest.mark.proves("in-force", "none", "spread")
    @pytest.mark.parametrize("seed", range(20))
    def test_fast_changes_reach_nodes_that_do_not_read(self, seed):
        history = History(seed)
        reader = history.nodes["a"]
        for _ in range(20):
            history.accept()
            asyncio.run(reader.reader.read_once(history.now_ms))
            for _ in range(history.rng.randrange(30)):
                history.deliver_intact()
            history.tick()
        for _ in range(10):
            history.tick()
            while history.deliver_intact():
                pass
        versions = {node.applied.latest.version for node in history.nodes.values()}
        assert versions == {20}
