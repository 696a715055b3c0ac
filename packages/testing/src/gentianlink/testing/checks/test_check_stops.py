import attrs

from gentianlink.testing.checks.call_record import CallRecord
from gentianlink.testing.checks.check_stops import check_no_cut, check_no_new_work
from gentianlink.testing.checks.execution_record import ExecutionRecord
from gentianlink.testing.checks.stop_record import StopRecord
from gentianlink.testing.checks.violation import Violation

STOP = StopRecord("t1", 1000, 6000)
EARLY = ExecutionRecord("t1", "r1", "", "/balance", 2000, 2010)
LATE = ExecutionRecord("t1", "r2", "", "/balance", 4500, 4510)
CALL = CallRecord("r1", "/balance", "", "n1", 1990, 2020, 200, "done", "r1")


class TestCheckStops:
    def test_undisturbed_calls_pass(self):
        assert check_no_new_work([EARLY], [STOP], 3000) == []
        assert check_no_cut([CALL], [EARLY], [STOP]) == []

    def test_new_work_on_a_draining_target_is_found(self):
        assert check_no_new_work([EARLY, LATE], [STOP], 3000) == [
            Violation("no-new-work", "t1", "new work 500 ms after the bound")
        ]

    def test_work_after_a_restart_is_allowed(self):
        restarted = attrs.evolve(LATE, started_ms=7000, ended_ms=7010)
        assert check_no_new_work([restarted], [STOP], 3000) == []

    def test_interrupted_call_is_found(self):
        interrupted = attrs.evolve(CALL, status=0, outcome="")
        assert check_no_cut([interrupted], [EARLY], [STOP]) == [
            Violation("no-cut", "t1", "call r1 ended with nothing")
        ]

    def test_call_interrupted_at_a_stopping_node_is_found(self):
        interrupted = attrs.evolve(CALL, status=0, outcome="unknown")
        stop = attrs.evolve(STOP, name="n1")
        assert check_no_cut([interrupted], [], [stop]) == [
            Violation("no-cut", "n1", "call r1 ended with unknown")
        ]

    def test_call_through_another_node_does_not_count(self):
        interrupted = attrs.evolve(CALL, status=0, outcome="", node_id="n2")
        assert check_no_cut([interrupted], [], [STOP]) == []
