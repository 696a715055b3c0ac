from gentianlink.core.outcome import Outcome
from gentianlink.core.reason import Reason
from gentianlink.core.work_class import WorkClass
from gentianlink.node.proxy.call_counts import CallCounts
from gentianlink.node.proxy.refusal import Refusal


class TestCallCounts:
    def test_counts(self):
        counts = CallCounts()
        counts.record_call(WorkClass.READ, None)
        counts.record_call(WorkClass.READ, None)
        counts.record_call(None, Refusal(Reason.NO_ROUTE))
        counts.record_call(
            WorkClass.AT_MOST_ONCE, Refusal(Reason.TARGET_LOST, Outcome.UNKNOWN)
        )
        assert counts.by_class == {
            "read done": 2,
            "none not-run": 1,
            "at-most-once unknown": 1,
        }
        assert counts.outcomes == {
            Outcome.DONE: 2,
            Outcome.NOT_RUN: 1,
            Outcome.UNKNOWN: 1,
        }
        assert counts.refusals == {"no-route": 1, "target-lost": 1}
