from gentianlink.testing.checks.check_routes import check_routes
from gentianlink.testing.checks.violation import Violation

ROUTES = {"/balance": ("inquiry", ("t1", "t2"))}


class TestCheckRoutes:
    def test_resolved_routes_pass(self):
        assert check_routes("n1", ROUTES, {"inquiry"}, {"t1", "t2"}) == []

    def test_missing_service_is_found(self):
        assert check_routes("n1", ROUTES, set(), {"t1", "t2"}) == [
            Violation("no-dangling-route", "n1", "/balance points at service inquiry")
        ]

    def test_missing_endpoint_is_found(self):
        assert check_routes("n1", ROUTES, {"inquiry"}, {"t1"}) == [
            Violation("no-dangling-route", "n1", "/balance points at endpoint t2")
        ]
