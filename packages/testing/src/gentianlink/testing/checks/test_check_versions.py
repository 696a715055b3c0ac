from gentianlink.core.change import Change
from gentianlink.testing.checks.check_versions import (
    check_convergence,
    check_never_back,
    check_whole_versions,
)
from gentianlink.testing.checks.version_record import VersionRecord
from gentianlink.testing.checks.violation import Violation

CHANGES = [
    Change(1, "aaaa", "", "c1", "ann", 100, "first"),
    Change(2, "bbbb", "aaaa", "c2", "ann", 200, "second"),
]
FIRST = VersionRecord("n1", 110, 1, "aaaa")
SECOND = VersionRecord("n1", 210, 2, "bbbb")
BACK = VersionRecord("n1", 300, 1, "aaaa")


class TestCheckVersions:
    def test_accepted_versions_in_order_pass(self):
        assert check_never_back([SECOND, FIRST]) == []
        assert check_whole_versions([FIRST, SECOND], CHANGES) == []
        assert check_convergence([FIRST, SECOND], CHANGES[1], ["n1"], 50) == []

    def test_going_back_is_found(self):
        assert check_never_back([FIRST, SECOND, BACK]) == [
            Violation("never-back", "n1", "2 then 1")
        ]

    def test_other_nodes_do_not_count_as_going_back(self):
        other = VersionRecord("n2", 300, 1, "aaaa")
        assert check_never_back([FIRST, SECOND, other]) == []

    def test_partly_applied_version_is_found(self):
        part = VersionRecord("n1", 210, 2, "cccc")
        assert check_whole_versions([part], CHANGES) == [
            Violation("whole-version", "n1", "version 2 with digest cccc")
        ]

    def test_late_node_is_found(self):
        assert check_convergence([SECOND], CHANGES[1], ["n1", "n2"], 50) == [
            Violation("in-force", "n2", "version 2 not in force in time")
        ]
        assert check_convergence([SECOND], CHANGES[1], ["n1"], 5) == [
            Violation("in-force", "n1", "version 2 not in force in time")
        ]
