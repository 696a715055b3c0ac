import attrs
import pytest

from gentianlink.core.catalogue import Catalogue
from gentianlink.core.entry import Entry
from gentianlink.core.limits import Limits
from gentianlink.core.service import Service
from gentianlink.core.work_class import WorkClass
from gentianlink.ops.validate_catalogue import MAX_SERVICES, validate_catalogue

SERVICE = Service("inquiry", "branch")
ENTRY = Entry("balance", "branch", "inquiry", WorkClass.READ, "/inquiry/balance")
NAME_ALLOWED = "1 to 64 letters, digits, '.', '_' or '-', first a letter or digit"


def format_problems(services, entries):
    catalogue = Catalogue(1, tuple(services), tuple(entries))
    return [problem.format() for problem in validate_catalogue(catalogue, "c")]


class TestValidateCatalogue:
    def test_valid_catalogue(self):
        assert format_problems([SERVICE], [ENTRY]) == []

    def test_duplicate_names(self):
        other = attrs.evolve(ENTRY, route="/inquiry/other")
        assert format_problems([SERVICE, SERVICE], [ENTRY, other]) == [
            "c: [service inquiry]: found 2 times; allowed: once",
            "c: [entry balance]: found 2 times; allowed: once",
        ]

    @pytest.mark.parametrize(
        "name", ["", "-a", "a b", "a/b", "a" * 65, "\u00e9", "a\n"]
    )
    def test_name_syntax(self, name):
        entry = attrs.evolve(ENTRY, name=name)
        assert format_problems([SERVICE], [entry]) == [
            f"c: [entry {name}]: found {name}; allowed: {NAME_ALLOWED}"
        ]

    def test_owner_syntax(self):
        assert format_problems([Service("inquiry", "a b")], []) == [
            f"c: [service inquiry] owner: found a b; allowed: {NAME_ALLOWED}"
        ]

    def test_entry_of_unknown_service(self):
        entry = attrs.evolve(ENTRY, service="registry")
        assert format_problems([SERVICE], [entry]) == [
            "c: [entry balance] service: found registry; allowed: inquiry"
        ]

    def test_preferences(self):
        entry = attrs.evolve(ENTRY, prefer=("a b", "k1", "k1"))
        assert format_problems([SERVICE], [entry]) == [
            f"c: [entry balance] prefer: found a b; allowed: {NAME_ALLOWED}",
            "c: [entry balance] prefer: found k1 2 times; allowed: once",
        ]

    @pytest.mark.parametrize("value", [float("nan"), float("inf"), -0.1, 1.1])
    def test_panic_threshold(self, value):
        service = attrs.evolve(SERVICE, panic_threshold=value)
        assert format_problems([service], []) == [
            f"c: [service inquiry] panic_threshold: found {value}; allowed: 0 to 1"
        ]

    @pytest.mark.parametrize(
        ("key", "value", "allowed"),
        [
            ("rate", float("nan"), "0 to 1000000.0"),
            ("rate", float("inf"), "0 to 1000000.0"),
            ("concurrency", -1, "0 to 100000"),
            ("queue", 100_001, "0 to 100000"),
            ("deadline_ms", 0, "1 to 600000"),
            ("retries", 6, "0 to 5"),
            ("body_max_bytes", (1 << 30) + 1, "0 to 1073741824"),
        ],
    )
    def test_limits(self, key, value, allowed):
        entry = attrs.evolve(ENTRY, limits=Limits(**{key: value}))
        assert format_problems([SERVICE], [entry]) == [
            f"c: [entry balance] {key}: found {value}; allowed: {allowed}"
        ]

    @pytest.mark.parametrize(
        "route", ["a", "/", "/a/", "//a", "/a/../b", "/a?b", "/a b", "/" + "a" * 256]
    )
    def test_route_syntax(self, route):
        entry = attrs.evolve(ENTRY, route=route)
        assert format_problems([SERVICE], [entry]) == [
            f"c: [entry balance] route: found {route}; "
            "allowed: an absolute path without '//', '..', '?' or a last '/'"
        ]

    def test_duplicate_route(self):
        other = attrs.evolve(ENTRY, name="other")
        assert format_problems([SERVICE], [ENTRY, other]) == [
            "c: [entry other] route: found /inquiry/balance; "
            "allowed: a route other than that of entry balance"
        ]

    def test_too_many_services(self):
        services = [Service(f"s{number}", "o") for number in range(MAX_SERVICES + 1)]
        assert format_problems(services, []) == [
            "c: [service]: found 2001 sections; allowed: at most 2000"
        ]
