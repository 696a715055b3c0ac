import collections

from gentianlink.core.entry import Entry
from gentianlink.core.limits import Limits
from gentianlink.core.reason import Reason
from gentianlink.core.work_class import WorkClass
from gentianlink.node.proxy.entry_limiter import EntryLimiter


def make_entry(**limits):
    return Entry("e", "o", "s", WorkClass.READ, "/e", Limits(**limits))


def offer(entry, rates, seconds):
    """Offer calls at steady rates; return the rates admitted in the second half."""
    limiter = EntryLimiter()
    admitted = collections.Counter()
    times = sorted(
        (number * 1000 / rate, caller)
        for caller, rate in rates.items()
        for number in range(int(rate * seconds))
    )
    for now_ms, caller in times:
        if limiter.enter(entry, caller, now_ms) is None:
            limiter.leave(entry, caller)
            admitted[caller] += now_ms >= seconds * 500
    return {caller: count * 2 / seconds for caller, count in admitted.items()}


class TestEntryLimiter:
    def test_entry_without_limits_admits_all_calls(self):
        limiter = EntryLimiter()
        entry = make_entry()
        assert {limiter.enter(entry, "a", 0) for _ in range(100)} == {None}

    def test_rate_limit_applies_to_a_single_caller(self):
        rate = offer(make_entry(rate=50), {"a": 500}, 10)["a"]
        assert 48 <= rate <= 52

    def test_rate_limit_is_shared_fairly_with_a_greedy_caller(self):
        rates = offer(make_entry(rate=50), {"greedy": 500, "b": 40, "c": 10}, 10)
        assert rates["c"] >= 9
        assert 18 <= rates["b"] <= 22
        assert 18 <= rates["greedy"] <= 22

    def test_retry_after_time_is_enough_for_the_next_call(self):
        limiter = EntryLimiter()
        entry = make_entry(rate=4)
        assert limiter.enter(entry, "a", 0) is None
        refusal = limiter.enter(entry, "a", 0)
        assert refusal.reason is Reason.RATE_LIMIT
        assert limiter.enter(entry, "a", refusal.retry_after_ms) is None

    def test_concurrency_limit_admits_again_after_a_call_ends(self):
        limiter = EntryLimiter()
        entry = make_entry(concurrency=2)
        results = [limiter.enter(entry, "a", 0) for _ in range(3)]
        assert [item and item.reason for item in results] == [
            None,
            None,
            Reason.CONCURRENCY_LIMIT,
        ]
        limiter.leave(entry, "a")
        assert limiter.enter(entry, "a", 1) is None

    def test_second_caller_gets_a_slot_that_the_first_frees(self):
        limiter = EntryLimiter()
        entry = make_entry(concurrency=4)
        for _ in range(5):
            limiter.enter(entry, "greedy", 0)
        assert limiter.enter(entry, "b", 1) is not None
        limiter.leave(entry, "greedy")
        assert limiter.enter(entry, "greedy", 200) is not None
        assert limiter.enter(entry, "b", 201) is None

    def test_number_of_callers_is_bounded(self):
        limiter = EntryLimiter()
        entry = make_entry(concurrency=10_000)
        for number in range(2000):
            assert limiter.enter(entry, f"caller-{number}", 0) is None
        for number in range(2000):
            limiter.leave(entry, f"caller-{number}")
        assert limiter.enter(entry, "late", 0) is None
