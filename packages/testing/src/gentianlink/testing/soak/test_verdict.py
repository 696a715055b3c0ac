from gentianlink.core.change import Change
from gentianlink.testing.checks.call_record import CallRecord
from gentianlink.testing.checks.execution_record import ExecutionRecord
from gentianlink.testing.checks.version_record import VersionRecord
from gentianlink.testing.checks.violation import Violation
from gentianlink.testing.soak.deployment import KINGSTON
from gentianlink.testing.soak.observations import Observations
from gentianlink.testing.soak.verdict import (
    check_accepted,
    get_undisturbed_changes,
    get_violations,
)

CHANGE = Change(1, "aaaa", "", "c1", "ann", 10_000, "first")
RUN = ExecutionRecord("t1", "r1", "k1", "/redemption/redeem", 10_100, 10_110)
CALL = CallRecord(
    "r1", "/redemption/redeem", "k1", "n1", 10_090, 10_120, 200, "done", "r1"
)


class TestVerdict:
    def test_kept_promises_have_no_violation(self):
        observations = Observations(
            calls=[CALL], versions=[VersionRecord("n1", 10_200, 1, "aaaa")]
        )
        assert get_violations(observations, [RUN], [CHANGE], KINGSTON, ["n1"]) == []

    def test_each_broken_promise_is_reported(self):
        again = ExecutionRecord("t2", "r2", "k1", "/redemption/redeem", 10_100, 0)
        observations = Observations(calls=[CALL])
        assert get_violations(
            observations, [RUN, again], [CHANGE], KINGSTON, ["n1"]
        ) == [
            Violation("at-most-once", "/redemption/redeem k1", "executed 2 times"),
            Violation("in-force", "n1", "version 1 not in force in time"),
        ]

    def test_bound_applies_to_undisturbed_changes_only(self):
        assert get_undisturbed_changes([CHANGE], [(5_000, 9_999)]) == [CHANGE]
        assert get_undisturbed_changes([CHANGE], [(14_001, 15_000)]) == [CHANGE]
        assert get_undisturbed_changes([CHANGE], [(13_000, 15_000)]) == []

    def test_lost_change_is_found(self):
        assert check_accepted([CHANGE], []) == [
            Violation("in-force", "c1", "version 1 is lost")
        ]
