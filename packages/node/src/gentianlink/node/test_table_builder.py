import attrs
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from gentianlink.core.catalogue import Catalogue
from gentianlink.core.entry import Entry
from gentianlink.core.node_record import NodeRecord
from gentianlink.core.node_state import NodeState
from gentianlink.core.service import Service
from gentianlink.core.target_record import TargetRecord
from gentianlink.core.target_state import TargetState
from gentianlink.core.work_class import WorkClass
from gentianlink.node.membership import (
    DEAD_AFTER_MS,
    Membership,
)
from gentianlink.node.node_timers import RECENTLY_DEAD_MS, TOMBSTONE_MS
from gentianlink.node.table_builder import TableBuilder
from gentianlink.ops.build_table import build_table

NODES = ("a", "b", "c", "d")
SERVICES = ("inquiry", "registry")
EXAMPLES = 300
STEPS_MIN = 10
STEPS_MAX = 40

node_records = st.builds(
    NodeRecord,
    node_id=st.sampled_from(NODES[:2]),
    incarnation=st.integers(1, 2),
    sequence=st.integers(1, 6),
    region=st.just("r"),
    data_centre=st.just("r-1"),
    address=st.sampled_from(("127.0.0.1", "127.0.0.2")),
    call_port=st.just(1),
    mesh_port=st.just(2),
    admin_port=st.just(3),
    state=st.sampled_from(NodeState),
)
target_records = st.builds(
    TargetRecord,
    service=st.sampled_from(SERVICES),
    target_id=st.sampled_from(("t", "u")),
    node_id=st.sampled_from(NODES[:2]),
    incarnation=st.integers(1, 2),
    sequence=st.integers(1, 6),
    state=st.sampled_from((TargetState.READY, *TargetState)),
    slots=st.integers(1, 2),
)
catalogues = st.builds(
    lambda names, threshold: make_catalogue(sorted(names), threshold),
    st.sets(st.sampled_from(SERVICES)),
    st.sampled_from((0.0, 0.5, 1.0)),
)
waits_ms = st.sampled_from((1, DEAD_AFTER_MS, RECENTLY_DEAD_MS, TOMBSTONE_MS))
steps = st.lists(
    st.one_of(node_records, target_records, target_records, catalogues, waits_ms),
    min_size=STEPS_MIN,
    max_size=STEPS_MAX,
)


def make_catalogue(names, threshold=0.5):
    services = tuple(Service(name, "owner", threshold) for name in names)
    entries = tuple(
        Entry(name, "owner", name, WorkClass.READ, f"/{name}") for name in names
    )
    return Catalogue(1, services, entries)


def make_node(node_id, **changes):
    node = NodeRecord(node_id, 1, 1, "r", "r-1", "127.0.0.1", 1, 2, 3)
    return attrs.evolve(node, **changes)


def make_target(node_id, **changes):
    target = TargetRecord("inquiry", "t", node_id, 1, 1, TargetState.READY, 10)
    return attrs.evolve(target, **changes)


class View:
    def __init__(self):
        own = make_node("own")
        self.now_ms = 0
        self.catalogue = Catalogue()
        self.membership = Membership(own, lambda *change: None)
        self.builder = TableBuilder(self.membership)

    def apply(self, step):
        if isinstance(step, NodeRecord):
            self.membership.merge([step], [], self.now_ms)
        elif isinstance(step, TargetRecord):
            self.membership.merge([], [step], self.now_ms)
        elif isinstance(step, Catalogue):
            self.catalogue = step
        else:
            self.now_ms += step
            self.membership.check(self.now_ms)
        return self.builder.build(self.catalogue)

    def build_from_scratch(self):
        view = self.membership
        return build_table(
            self.catalogue, view.nodes, view.targets, view.grace, view.recently_dead
        )


def get_node_ids(table, route="/inquiry"):
    return [endpoint.node_id for endpoint in table.routes[route].endpoints]


def assert_nothing_dangles(view, table):
    services = {service.name for service in view.catalogue.services}
    for route in table.routes.values():
        assert route.entry in view.catalogue.entries
        assert route.entry.service in services
        for endpoint in route.endpoints:
            node = view.membership.nodes[endpoint.node_id]
            key = (node.node_id, route.entry.service, endpoint.target_id)
            target = view.membership.targets[key]
            assert target.state is TargetState.READY
            assert target.incarnation == node.incarnation
            assert node.state is not NodeState.LEFT
            assert (endpoint.address, endpoint.call_port) == (
                node.address,
                node.call_port,
            )


class TestTableBuilder:
    @pytest.mark.proves("no-dangling-route", "reordered", "spread")
    @pytest.mark.proves("no-dangling-route", "reordered", "apply")
    @pytest.mark.proves("no-dangling-route", "reordered", "route")
    @settings(
        derandomize=True,
        max_examples=EXAMPLES,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(steps)
    def test_no_interleaving_lets_a_route_dangle(self, work):
        view = View()
        view.apply(make_catalogue(SERVICES))
        for node_id in NODES[:2]:
            view.apply(make_node(node_id))
            view.apply(make_target(node_id))
        for step in work:
            table = view.apply(step)
            assert_nothing_dangles(view, table)
            assert table == view.build_from_scratch()

    @pytest.mark.proves("no-dangling-route", "none", "apply")
    @pytest.mark.proves("no-dangling-route", "none", "route")
    def test_endpoint_enters_before_its_route_and_leaves_after_it(self):
        view = View()
        view.apply(make_node("a"))
        assert view.apply(make_target("a")).routes == {}
        with_route = view.apply(make_catalogue(["inquiry"]))
        assert get_node_ids(with_route) == ["a"]
        assert view.apply(Catalogue()).routes == {}
        view.apply(make_node("a", sequence=2, state=NodeState.LEFT))
        assert get_node_ids(with_route) == ["a"]

    def test_restart_of_a_node_removes_the_endpoints_of_its_former_process(self):
        view = View()
        view.apply(make_catalogue(["inquiry"]))
        view.apply(make_node("a"))
        view.apply(make_target("a"))
        assert get_node_ids(view.apply(make_node("a", incarnation=2))) == []

    @pytest.mark.proves("no-new-work", "none", "route")
    def test_draining_and_left_targets_take_no_new_work(self):
        for state in (TargetState.DRAINING, TargetState.LEFT, TargetState.STARTING):
            view = View()
            view.apply(make_catalogue(["inquiry"], 1.0))
            view.apply(make_node("a"))
            view.apply(make_target("a"))
            table = view.apply(make_target("a", sequence=2, state=state))
            assert get_node_ids(table) == []

    def test_changed_slots_take_effect(self):
        view = View()
        view.apply(make_catalogue(["inquiry"]))
        view.apply(make_node("a"))
        view.apply(make_target("a"))
        table = view.apply(make_target("a", sequence=2, slots=3))
        assert [item.slots for item in table.routes["/inquiry"].endpoints] == [3]

    def test_deaths_are_ignored_below_the_panic_threshold(self):
        view = View()
        view.apply(make_catalogue(["inquiry"], 0.5))
        for node_id in NODES:
            view.apply(make_node(node_id))
            view.apply(make_target(node_id))
        for node_id in "abc":
            view.apply(make_node(node_id, state=NodeState.SUSPECT))
        assert get_node_ids(view.builder.table) == list(NODES)
        for node_id in "ab":
            view.apply(make_node(node_id, state=NodeState.DEAD))
        assert get_node_ids(view.apply(DEAD_AFTER_MS)) == list(NODES)
        view.apply(make_node("c", sequence=2))
        assert get_node_ids(view.builder.table) == ["c", "d"]
        view.apply(make_node("c", sequence=2, state=NodeState.DEAD))
        assert get_node_ids(view.apply(DEAD_AFTER_MS)) == list(NODES)
        assert get_node_ids(view.apply(RECENTLY_DEAD_MS)) == ["d"]

    def test_death_refuted_in_time_changes_no_route(self):
        view = View()
        view.apply(make_catalogue(["inquiry"], 0.0))
        for node_id in "ab":
            view.apply(make_node(node_id))
            view.apply(make_target(node_id))
        tables = [
            view.apply(make_node("a", state=NodeState.DEAD)),
            view.apply(DEAD_AFTER_MS - 1),
            view.apply(make_node("a", sequence=2)),
            view.apply(DEAD_AFTER_MS),
        ]
        assert [get_node_ids(table) for table in tables] == [["a", "b"]] * 4

    def test_only_changed_services_are_rebuilt(self):
        view = View()
        view.apply(make_catalogue(["inquiry", "registry"]))
        view.apply(make_node("a"))
        before = view.apply(make_target("a", service="registry"))
        after = view.apply(make_target("a"))
        same = "/registry"
        assert after.routes[same].endpoints is before.routes[same].endpoints
        builds = view.builder.builds
        assert view.builder.build(view.catalogue) is after
        assert view.builder.builds == builds
