from gentianlink.core.endpoint import Endpoint
from gentianlink.core.entry import Entry
from gentianlink.core.routing_table import Route
from gentianlink.core.target_state import TargetState
from gentianlink.core.work_class import WorkClass
from gentianlink.node import endpoint_health
from gentianlink.node.endpoint_health import EndpointHealth
from gentianlink.node.failure_kind import FailureKind

ENTRY = Entry("balance", "branch", "inquiry", WorkClass.READ, "/balance")


def make_route(*target_ids, panic_threshold=0.5):
    endpoints = tuple(
        Endpoint(name, f"node-{name}", "a", "127.0.0.1", 80, TargetState.READY, 1)
        for name in target_ids
    )
    return Route(ENTRY, endpoints, panic_threshold)


def get_names(endpoints):
    return [endpoint.target_id for endpoint in endpoints]


class TestEndpointHealth:
    def test_failure_ejects_at_once_and_for_a_bounded_time(self):
        health = EndpointHealth()
        health.report_failure("a", FailureKind.REFUSED, 0)
        assert [health.is_ejected("a", now_ms) for now_ms in (0, 999, 1000)] == [
            True,
            True,
            False,
        ]
        assert not health.is_ejected("b", 0)

    def test_failures_after_each_ejection_double_it_up_to_a_bound(self):
        health = EndpointHealth()
        now_ms = 0
        lengths = []
        for _ in range(6):
            health.report_failure("a", FailureKind.SILENT, now_ms)
            start_ms = now_ms
            while health.is_ejected("a", now_ms):
                now_ms += 500
            lengths.append(now_ms - start_ms)
        assert lengths == [1000, 2000, 4000, 8000, 15_000, 15_000]

    def test_failures_of_calls_in_flight_do_not_prolong_the_ejection(self):
        health = EndpointHealth()
        for now_ms in (0, 10, 999):
            health.report_failure("a", FailureKind.RESET, now_ms)
        assert not health.is_ejected("a", 1000)

    def test_success_ends_the_ejection(self):
        health = EndpointHealth()
        health.report_failure("a", FailureKind.RESET, 0)
        health.report_success("a", 10)
        assert not health.is_ejected("a", 10)
        health.report_failure("a", FailureKind.RESET, 20)
        assert not health.is_ejected("a", 1020)

    def test_ejected_endpoints_are_not_usable(self):
        health = EndpointHealth()
        health.report_failure("a", FailureKind.REFUSED, 0)
        route = make_route("a", "b", "c")
        assert get_names(health.get_usable_endpoints(route, 0)) == ["b", "c"]

    def test_all_endpoints_are_usable_below_the_panic_threshold(self):
        health = EndpointHealth()
        route = make_route("a", "b", "c", "d")
        health.report_failure("a", FailureKind.REFUSED, 0)
        health.report_failure("b", FailureKind.REFUSED, 0)
        assert get_names(health.get_usable_endpoints(route, 0)) == ["c", "d"]
        health.report_failure("c", FailureKind.REFUSED, 0)
        assert get_names(health.get_usable_endpoints(route, 0)) == list("abcd")

    def test_only_endpoint_stays_usable(self):
        health = EndpointHealth()
        route = make_route("a", panic_threshold=0.0)
        health.report_failure("a", FailureKind.SILENT, 0)
        assert get_names(health.get_usable_endpoints(route, 0)) == ["a"]

    def test_restart_of_a_target_ends_its_ejection(self):
        health = EndpointHealth()
        health.report_failure("a", FailureKind.REFUSED, 0)
        health.forget("a")
        assert not health.is_ejected("a", 1)

    def test_number_of_ejections_is_bounded(self, monkeypatch):
        monkeypatch.setattr(endpoint_health, "MAX_EJECTED_TARGETS", 2)
        health = EndpointHealth()
        for name, now_ms in (("a", 0), ("b", 500), ("c", 1200)):
            health.report_failure(name, FailureKind.REFUSED, now_ms)
        assert [health.is_ejected(name, 1200) for name in "abc"] == [False, True, True]
