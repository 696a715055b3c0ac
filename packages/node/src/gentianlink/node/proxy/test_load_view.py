from gentianlink.core.endpoint import Endpoint
from gentianlink.core.target_state import TargetState
from gentianlink.node.proxy.load_view import LoadView

ENDPOINT = Endpoint("t", "n", "a", "127.0.0.1", 1, TargetState.READY, 10)
WARM_MS = 10_000


def make_warm():
    view = LoadView()
    view.get_load(ENDPOINT, 0)
    return view


class TestLoadView:
    def test_own_outstanding_calls_count(self):
        view = make_warm()
        loads = []
        for _ in range(2):
            view.begin("t", WARM_MS)
            loads.append(view.get_load(ENDPOINT, WARM_MS))
        view.end("t", WARM_MS)
        assert [*loads, view.get_load(ENDPOINT, WARM_MS)] == [0.1, 0.2, 0.1]

    def test_reported_calls_of_other_nodes_count_and_decay(self):
        view = make_warm()
        view.begin("t", WARM_MS)
        view.report(ENDPOINT, 4, WARM_MS)
        view.end("t", WARM_MS)
        loads = [view.get_load(ENDPOINT, WARM_MS + age) for age in (0, 500, 1000)]
        assert loads == [0.6, 0.3, 0.0]

    def test_cold_target_has_few_slots_at_first(self):
        view = LoadView()
        view.begin("t", 0)
        loads = [view.get_load(ENDPOINT, now_ms) for now_ms in (0, 2500, 5000)]
        assert loads == [1.0, 1 / 5.5, 0.1]

    def test_target_that_was_unused_for_long_is_cold_again(self):
        view = make_warm()
        view.begin("other", 40_000)
        view.begin("t", 40_000)
        assert view.get_load(ENDPOINT, 40_000) == 1.0
