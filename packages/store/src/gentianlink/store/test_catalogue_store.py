import asyncio

import attrs
import pytest

from gentianlink.core.catalogue import Catalogue
from gentianlink.core.entry import Entry
from gentianlink.core.errors import (
    ChangeConflict,
    ChangeIdReused,
    ChangeNotAccepted,
    ChangeOutcomeUnknown,
)
from gentianlink.core.service import Service
from gentianlink.core.work_class import WorkClass
from gentianlink.store.catalogue_store import CatalogueStore
from gentianlink.store.change_request import ChangeRequest
from gentianlink.testing.fake_platform import (
    FakeFault,
    FakeObjectClient,
    FakeTableClient,
    FaultPlan,
)

INQUIRY = Service("inquiry", "branch")
BALANCE = Entry("balance", "branch", "inquiry", WorkClass.READ, "/balance")
HISTORY = Entry("history", "branch", "inquiry", WorkClass.READ, "/history")
FIRST = Catalogue(0, (INQUIRY,), (BALANCE,))
SECOND = Catalogue(0, (INQUIRY,), (BALANCE, HISTORY))
OTHER = Catalogue(0, (INQUIRY,), ())

# Numbers of the platform calls that accept() makes on top of version 1.
FIND, READ_OLD, PUT_SNAPSHOT, PUT_DELTA, TRANSACT, FIND_ACCEPTED = 1, 2, 3, 4, 5, 6
LOST = (FakeFault.REQUEST_LOST, FakeFault.ANSWER_LOST, FakeFault.DELAYED)


@attrs.define
class Platform:
    table: FakeTableClient = attrs.field(factory=FakeTableClient)
    objects: FakeObjectClient = attrs.field(factory=FakeObjectClient)

    def open_store(self, faults=None):
        plan = FaultPlan(faults)
        table = FakeTableClient(self.table.state, plan)
        return CatalogueStore(table, FakeObjectClient(self.objects.state, plan)), plan

    def accept(self, proposed, change_id, faults=None, base=None, is_repeat=False):
        store, plan = self.open_store(faults)
        base = base or self.read_base()
        request = ChangeRequest(change_id, "ada", "test", is_repeat)
        return run(store.accept(proposed, base, request, 1000)), plan

    def read_base(self):
        return run(self.open_store()[0].read_head())

    def check_consistent(self):
        """Check the rows and objects of every version; return the change ids."""
        store, _ = self.open_store()
        head, _ = self.read_base()
        ids = []
        for version in range(1, head.version + 1):
            change = run(store.read_change(version))
            ids.append(change.change_id)
            version_head = attrs.evolve(head, version=version, digest=change.digest)
            assert run(store.find_change(change.change_id)) == change
            assert run(store.read_catalogue(version_head)).version == version
            assert run(store.read_delta(version_head)).to_digest == change.digest
        assert len(ids) == len(set(ids))
        return ids


def run(coroutine):
    return asyncio.run(coroutine)


@pytest.fixture
def platform():
    platform = Platform()
    platform.accept(FIRST, "first")
    return platform


class TestCatalogueStore:
    def test_accepted_change(self, platform):
        change, plan = platform.accept(SECOND, "second")
        assert (change.version, change.difference) == (2, ("+ entry history",))
        assert platform.read_base()[0].when_ms == 1000
        assert plan.calls == TRANSACT
        assert platform.check_consistent() == ["first", "second"]

    @pytest.mark.proves("in-force", "objects-down", "accept")
    @pytest.mark.parametrize("call", [FIND, READ_OLD, PUT_SNAPSHOT, PUT_DELTA])
    @pytest.mark.parametrize("fault", FakeFault)
    def test_failure_before_the_transaction(self, platform, call, fault):
        with pytest.raises(ChangeNotAccepted):
            platform.accept(SECOND, "second", {call: fault})
        assert platform.check_consistent() == ["first"]

    @pytest.mark.parametrize("call", [FIND, READ_OLD, PUT_SNAPSHOT, PUT_DELTA])
    @pytest.mark.parametrize("fault", FakeFault)
    def test_failed_repeat_leaves_the_outcome_unknown(self, platform, call, fault):
        with pytest.raises(ChangeOutcomeUnknown) as caught:
            platform.accept(SECOND, "second", {call: fault}, is_repeat=True)
        assert caught.value.change_id == "second"
        assert platform.check_consistent() == ["first"]

    @pytest.mark.proves("in-force", "table-down", "accept")
    def test_refused_transaction(self, platform):
        with pytest.raises(ChangeNotAccepted):
            platform.accept(SECOND, "second", {TRANSACT: FakeFault.REFUSED})
        assert platform.check_consistent() == ["first"]

    @pytest.mark.proves("in-force", "answer-lost", "accept")
    @pytest.mark.parametrize("fault", LOST)
    def test_lost_transaction_is_resolved(self, platform, fault):
        change, plan = platform.accept(SECOND, "second", {TRANSACT: fault})
        plan.apply_delayed()
        assert change.version == 2
        assert platform.check_consistent() == ["first", "second"]

    @pytest.mark.parametrize("fault", LOST)
    @pytest.mark.parametrize("later", range(FIND_ACCEPTED, FIND_ACCEPTED + 5))
    @pytest.mark.parametrize("later_fault", FakeFault)
    def test_two_failures_still_accept_the_change_once(
        self, platform, fault, later, later_fault
    ):
        faults = {TRANSACT: fault, later: later_fault}
        base = platform.read_base()
        store, plan = platform.open_store(faults)
        request = ChangeRequest("second", "ada", "test")
        try:
            change = run(store.accept(SECOND, base, request, 1000))
        except ChangeOutcomeUnknown as error:
            assert error.change_id == "second"
            plan.apply_delayed()
            change, _ = platform.accept(SECOND, "second", is_repeat=True)
        plan.apply_delayed()
        assert change.version == 2
        assert platform.check_consistent() == ["first", "second"]

    def test_outage_after_the_transaction_leaves_the_outcome_unknown(self, platform):
        faults = {call: FakeFault.REFUSED for call in range(FIND_ACCEPTED, 20)}
        faults[TRANSACT] = FakeFault.DELAYED
        base = platform.read_base()
        store, plan = platform.open_store(faults)
        request = ChangeRequest("second", "ada", "test")
        with pytest.raises(ChangeOutcomeUnknown):
            run(store.accept(SECOND, base, request, 1000))
        assert platform.check_consistent() == ["first"]
        plan.apply_delayed()
        assert platform.check_consistent() == ["first", "second"]

    @pytest.mark.proves("never-back", "answer-lost", "accept")
    @pytest.mark.proves("never-back", "reordered", "accept")
    def test_delayed_transaction_after_another_change(self, platform):
        faults = {call: FakeFault.REFUSED for call in range(FIND_ACCEPTED, 20)}
        faults[TRANSACT] = FakeFault.DELAYED
        base = platform.read_base()
        store, plan = platform.open_store(faults)
        request = ChangeRequest("second", "ada", "test")
        with pytest.raises(ChangeOutcomeUnknown):
            run(store.accept(SECOND, base, request, 1000))
        platform.accept(OTHER, "other")
        with pytest.raises(ChangeConflict):
            platform.accept(SECOND, "second", base=base, is_repeat=True)
        plan.apply_delayed()
        assert platform.check_consistent() == ["first", "other"]

    def test_delayed_transaction_lands_before_the_repeat_commits(self, platform):
        base = platform.read_base()
        faults = {call: FakeFault.REFUSED for call in range(FIND_ACCEPTED, 20)}
        faults[TRANSACT] = FakeFault.DELAYED
        store, plan = platform.open_store(faults)
        request = ChangeRequest("second", "ada", "test")
        with pytest.raises(ChangeOutcomeUnknown):
            run(store.accept(SECOND, base, request, 1000))
        repeat, repeat_plan = platform.open_store()

        def land_before_transaction(effect):
            if repeat_plan.calls == TRANSACT - 1:
                plan.apply_delayed()
            return FaultPlan.run(repeat_plan, effect)

        repeat_plan.run = land_before_transaction
        again = attrs.evolve(request, is_repeat=True)
        assert run(repeat.accept(SECOND, base, again, 2000)).when_ms == 1000
        assert platform.check_consistent() == ["first", "second"]

    @pytest.mark.proves("in-force", "race", "accept")
    @pytest.mark.proves("never-back", "race", "accept")
    def test_two_operators_at_once(self, platform):
        base = platform.read_base()
        platform.accept(SECOND, "second", base=base)
        with pytest.raises(ChangeConflict) as caught:
            platform.accept(OTHER, "other", base=base)
        assert [change.change_id for change in caught.value.changes] == ["second"]
        assert caught.value.changes[0].difference == ("+ entry history",)
        assert platform.check_consistent() == ["first", "second"]

    def test_conflict_whose_difference_cannot_be_read(self, platform):
        base = platform.read_base()
        platform.accept(SECOND, "second", base=base)
        faults = {call: FakeFault.REFUSED for call in range(FIND_ACCEPTED, 20)}
        with pytest.raises(ChangeConflict) as caught:
            platform.accept(OTHER, "other", faults, base)
        assert caught.value.changes is None

    def test_repeated_change_is_accepted_once(self, platform):
        platform.accept(SECOND, "second")
        change, _ = platform.accept(SECOND, "second", is_repeat=True)
        assert change.version == 2
        assert platform.check_consistent() == ["first", "second"]

    def test_change_id_with_other_content_is_rejected(self, platform):
        with pytest.raises(ChangeIdReused) as caught:
            platform.accept(SECOND, "first")
        assert caught.value.change.version == 1

    @pytest.mark.proves("in-force", "objects-down", "store")
    def test_missing_snapshot_is_rebuilt(self, platform):
        platform.accept(SECOND, "second")
        head, _ = platform.read_base()
        name = next(
            name for name in platform.objects.state if "snapshot/000000000002" in name
        )
        data = platform.objects.state.pop(name)
        store, _ = platform.open_store()
        assert run(store.read_catalogue(head)) == attrs.evolve(SECOND, version=2)
        platform.objects.state[name] = data
        assert run(store.read_catalogue(head)) == attrs.evolve(SECOND, version=2)
