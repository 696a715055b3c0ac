import collections
import random

from gentianlink.core.endpoint import Endpoint
from gentianlink.core.entry import Entry
from gentianlink.core.node_record import NodeRecord
from gentianlink.core.routing_table import Route
from gentianlink.core.target_state import TargetState
from gentianlink.core.work_class import WorkClass
from gentianlink.ops.choose import choose_endpoint

OWN = NodeRecord("n0", 1, 1, "r", "a", "127.0.0.1", 1, 2, 3)
PLACES = (("t1", "n1", "a"), ("t2", "n2", "a"), ("t3", "n3", "b"), ("t4", "n4", "b"))


def make_endpoints(*places):
    return tuple(
        Endpoint(target, node, data_centre, "127.0.0.1", 1, TargetState.READY, 10)
        for target, node, data_centre in places
    )


def choose(loads, places=PLACES, prefer=(), excluded=()):
    endpoints = make_endpoints(*places)
    entry = Entry("e", "o", "s", WorkClass.READ, "/e", prefer=prefer)
    route = Route(entry, endpoints, 0.5)
    rng = random.Random(1)
    chosen = [
        choose_endpoint(
            route,
            OWN,
            endpoints,
            lambda item: loads.get(item.target_id, 0),
            excluded,
            rng,
        )
        for _ in range(200)
    ]
    return collections.Counter(item and item.target_id for item in chosen)


class TestChooseEndpoint:
    def test_own_data_centre_comes_first(self):
        assert set(choose({})) == {"t1", "t2"}

    def test_less_loaded_of_two_is_chosen(self):
        assert choose({"t1": 0.5, "t2": 0.4}) == {"t2": 200}

    def test_calls_spill_over_when_the_own_data_centre_is_full(self):
        assert set(choose({"t1": 1, "t2": 1})) == {"t3", "t4"}

    def test_one_target_below_the_spill_load_prevents_spilling_over(self):
        assert choose({"t1": 1, "t2": 0.79}) == {"t2": 200}
        assert set(choose({"t1": 1, "t2": 0.8})) == {"t3", "t4"}

    def test_preferred_data_centre_comes_before_the_own(self):
        assert set(choose({}, prefer=("b",))) == {"t3", "t4"}

    def test_local_target_comes_first_while_it_has_a_free_slot(self):
        places = (("t0", "n0", "a"), *PLACES)
        assert choose({"t0": 0.9}, places) == {"t0": 200}
        assert set(choose({"t0": 1}, places)) == {"t1", "t2"}

    def test_targets_of_earlier_attempts_are_excluded(self):
        assert choose({}, excluded=("t1", "t2", "t3")) == {"t4": 200}
        assert choose({}, excluded=("t1", "t2", "t3", "t4")) == {None: 200}
