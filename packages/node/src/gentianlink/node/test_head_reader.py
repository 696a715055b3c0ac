import asyncio
import random

import pytest

from gentianlink.core.catalogue import Catalogue
from gentianlink.core.codec import compute_digest, encode
from gentianlink.core.entry import Entry
from gentianlink.core.node_record import NodeRecord
from gentianlink.core.service import Service
from gentianlink.core.settings import MeshSettings
from gentianlink.core.work_class import WorkClass
from gentianlink.node.applied_catalogue import AppliedCatalogue
from gentianlink.node.head_reader import (
    FLEET_READS_PER_S,
    FLEET_START_READS_PER_S,
    ISOLATED_POLL_MS,
    OBJECT_READ_DELAY_MS,
    READER_BACKOFF_MAX_MS,
    HeadReader,
    compute_backoff_ms,
    compute_poll_ms,
    is_reader,
)
from gentianlink.node.membership import Membership
from gentianlink.store.catalogue_store import CatalogueStore
from gentianlink.store.change_request import ChangeRequest
from gentianlink.store.names import get_delta_name, get_snapshot_name
from gentianlink.testing.fake_platform import (
    FakeFault,
    FakeObjectClient,
    FakeTableClient,
)

INQUIRY = Service("inquiry", "branch")
SETTINGS = MeshSettings(readers=2, poll_ms=200)
ALL_DOWN = {call: FakeFault.REFUSED for call in range(1, 1000)}


def make_content(version, *, is_invalid=False):
    name = f"balance-{version}"
    service = "absent" if is_invalid else "inquiry"
    entry = Entry(name, "branch", service, WorkClass.READ, "/balance")
    return Catalogue(0, (INQUIRY,), (entry,))


def make_record(node_id, data_centre="north"):
    return NodeRecord(node_id, 1, 1, "r", data_centre, "127.0.0.1", 1, 2, 3)


class Reading:
    """A head reader on a fake platform, with simulated neighbours."""

    def __init__(self, state=None):
        self.table = FakeTableClient()
        self.objects = FakeObjectClient()
        if state is not None:
            self.table.state = state.table.state
            self.objects.state = state.objects.state
        self.store = CatalogueStore(self.table, self.objects)
        self.applied = AppliedCatalogue(lambda: None)
        self.membership = Membership(make_record("own"), lambda *changes: None)
        self.neighbour_version = 0
        self.has_neighbours = True
        self.reader = HeadReader(
            self.store,
            self.applied,
            self.membership,
            SETTINGS,
            lambda: self.neighbour_version,
            lambda: self.has_neighbours,
            random.Random(1),
        )

    def accept(self, *contents):
        for content in contents:
            asyncio.run(self._accept(content))

    async def _accept(self, content):
        base = await self.store.read_head()
        request = ChangeRequest(f"change-{base[0].version + 1}", "ada", "test")
        await self.store.accept(content, base, request, 500)

    def accept_invalid(self):
        """Accept an invalid version, as an older release with fewer checks would."""
        asyncio.run(self._accept_invalid())

    async def _accept_invalid(self):
        head, row = await self.store.read_head()
        old = await self.store.read_catalogue(head)
        invalid = make_content(head.version + 1, is_invalid=True)
        request = ChangeRequest(f"bad-{head.version + 1}", "ada", "test")
        change = await self.store._prepare(invalid, (head, row), request, 500)
        assert old.version + 1 == change.version
        await self.store._commit(change, (head, row), request)

    def read(self, now_ms=1000):
        asyncio.run(self.reader.read_once(now_ms))
        return self.applied.version


@pytest.fixture
def reading():
    return Reading()


class TestHeadReader:
    def test_first_read_makes_the_node_current(self, reading):
        assert not reading.applied.is_current
        assert reading.read() == 0
        assert reading.applied.is_current

    @pytest.mark.proves("never-back", "table-down", "restart")
    def test_not_current_while_the_table_is_down(self, reading):
        reading.accept(make_content(1), make_content(2))
        content = encode(Catalogue(1, *make_parts(make_content(1))))
        digest = compute_digest(Catalogue(1, *make_parts(make_content(1))))
        reading.applied.apply_snapshot(1, digest, content, 0)
        reading.table.plan.faults = ALL_DOWN
        for now_ms in range(0, 60_000, 1000):
            reading.read(now_ms)
        assert not reading.applied.is_current
        reading.table.plan.faults = {}
        assert reading.read(61_000) == 2
        assert reading.applied.is_current

    @pytest.mark.proves("never-back", "objects-down", "restart")
    def test_not_current_while_the_object_store_is_down(self, reading):
        reading.accept(make_content(1))
        reading.objects.plan.faults = ALL_DOWN
        assert reading.read() == 0
        assert not reading.applied.is_current
        version = Catalogue(1, *make_parts(make_content(1)))
        digest = compute_digest(version)
        reading.applied.apply_snapshot(1, digest, encode(version), 0)
        assert reading.applied.is_current

    def test_next_version_by_its_delta(self, reading):
        reading.accept(make_content(1))
        reading.read()
        reading.accept(make_content(2))
        calls = reading.objects.plan.calls
        assert reading.read() == 2
        assert reading.objects.plan.calls == calls + 1
        assert len(reading.applied.get_deltas_since(1)) == 1

    def test_several_versions_by_their_deltas(self, reading):
        reading.accept(make_content(1))
        reading.read()
        reading.accept(make_content(2), make_content(3), make_content(4))
        assert reading.read() == 4
        assert len(reading.applied.get_deltas_since(1)) == 3

    def test_missing_delta_is_replaced_by_the_snapshot(self, reading):
        reading.accept(make_content(1))
        reading.read()
        reading.accept(make_content(2))
        head, _ = asyncio.run(reading.store.read_head())
        del reading.objects.state[get_delta_name(2, head.digest)]
        assert reading.read() == 2

    def test_missing_objects_are_read_again(self, reading):
        reading.accept(make_content(1))
        head, _ = asyncio.run(reading.store.read_head())
        names = (get_snapshot_name(1, head.digest), get_delta_name(1, head.digest))
        kept = {name: reading.objects.state.pop(name) for name in names}
        assert reading.read() == 0
        reading.objects.state.update(kept)
        assert reading.read() == 1

    @pytest.mark.proves("all-or-none", "bad-input", "accept")
    def test_restart_over_refused_versions(self, reading):
        reading.accept(make_content(1), make_content(2))
        reading.accept_invalid()
        reading.accept_invalid()
        assert reading.read() == 2
        assert list(reading.applied.refused) == [4, 3]
        assert reading.applied.is_current
        reading.accept(make_content(5))
        assert reading.read() == 5

    def test_neighbours_have_time_to_deliver_before_objects_are_read(self, reading):
        reading.accept(make_content(1))
        reading.neighbour_version = 1
        calls = reading.objects.plan.calls
        assert reading.read(1000) == 0
        assert reading.read(999 + OBJECT_READ_DELAY_MS) == 0
        assert reading.objects.plan.calls == calls
        assert reading.read(1000 + OBJECT_READ_DELAY_MS) == 1

    def test_non_reader_delays_reading_objects(self, reading):
        reading.membership.merge([make_record(f"n{n}") for n in range(50)], [], 0)
        assert not is_reader(
            reading.membership.own_record, reading.membership.get_live_nodes(), 2
        )
        reading.accept(make_content(1))
        assert reading.read(1000) == 0
        assert reading.read(1000 + OBJECT_READ_DELAY_MS) == 1

    def test_poll_period_with_and_without_neighbours(self, reading):
        assert reading.reader.compute_wait_ms() <= 1.2 * 200
        reading.has_neighbours = False
        assert reading.reader.compute_wait_ms() >= 0.8 * ISOLATED_POLL_MS

    @pytest.mark.proves("in-force", "table-down", "spread")
    def test_back_off_of_a_reader_is_bounded(self):
        rng = random.Random(1)
        waits = [
            compute_backoff_ms(failures, True, True, 4700, 200, rng)
            for failures in range(1, 200)
        ]
        assert READER_BACKOFF_MAX_MS * 0.9 < max(waits) <= READER_BACKOFF_MAX_MS

    def test_reads_of_the_fleet_stay_bounded(self):
        rng = random.Random(1)
        nodes = 4700
        polls = [compute_poll_ms(False, nodes, 200, rng) for _ in range(nodes)]
        assert nodes / (sum(polls) / nodes) * 1000 < 1.1 * FLEET_READS_PER_S
        waits = [
            compute_backoff_ms(16, False, False, nodes, 200, rng) for _ in range(nodes)
        ]
        rate = nodes / (sum(waits) / nodes) * 1000
        assert rate < 1.1 * FLEET_START_READS_PER_S

    def test_readers_of_each_data_centre(self):
        nodes = [make_record(f"n{n}", f"d{n % 3}") for n in range(30)]
        chosen = [node for node in nodes if is_reader(node, nodes, 2)]
        assert sorted(node.data_centre for node in chosen) == [
            "d0",
            "d0",
            "d1",
            "d1",
            "d2",
            "d2",
        ]


def make_parts(content):
    return content.services, content.entries
