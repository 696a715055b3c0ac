import attrs

from gentianlink.testing.checks.call_record import CallRecord
from gentianlink.testing.checks.check_executions import (
    check_answers,
    check_at_most_once,
    check_not_run,
)
from gentianlink.testing.checks.execution_record import ExecutionRecord
from gentianlink.testing.checks.violation import Violation

RUN = ExecutionRecord("t1", "r1", "k1", "/redeem", 10, 20)
DONE = CallRecord("r1", "/redeem", "k1", "n1", 5, 25, 200, "done", "r1")
REFUSED = CallRecord("r2", "/redeem", "k2", "n1", 5, 25, 503, "not-run", "")


class TestCheckExecutions:
    def test_consistent_records_pass(self):
        assert check_at_most_once([RUN], ["/redeem"]) == []
        assert check_not_run([DONE, REFUSED], [RUN]) == []
        assert check_answers([DONE, REFUSED], [RUN]) == []

    def test_second_execution_is_found(self):
        again = attrs.evolve(RUN, target_id="t2", request_id="r9")
        assert check_at_most_once([RUN, again], ["/redeem"]) == [
            Violation("at-most-once", "/redeem k1", "executed 2 times")
        ]
        assert check_at_most_once([RUN, again], ["/balance"]) == []

    def test_executed_call_answered_not_run_is_found(self):
        run = attrs.evolve(RUN, request_id="r2")
        assert check_not_run([REFUSED], [run]) == [
            Violation("not-run", "r2", "was executed")
        ]

    def test_answer_of_another_call_is_found(self):
        crossed = attrs.evolve(DONE, echo="r7")
        assert check_answers([crossed], [RUN]) == [
            Violation("own-answer", "r1", "got the answer of r7")
        ]

    def test_partial_answer_is_found(self):
        partial = attrs.evolve(DONE, echo="")
        assert check_answers([partial], [RUN]) == [
            Violation("own-answer", "r1", "got the answer of no call")
        ]

    def test_done_without_execution_is_found(self):
        assert check_answers([DONE], []) == [
            Violation("own-answer", "r1", "answered done but no target executed it")
        ]

    def test_replay_must_be_of_the_same_key(self):
        replay = attrs.evolve(DONE, request_id="r3", replayed=True)
        assert check_answers([replay], [RUN]) == []
        other = attrs.evolve(replay, key="k2")
        assert check_answers([other], [RUN]) == [
            Violation("own-answer", "r3", "replayed the answer of r1")
        ]
