from gentianlink.node.proxy.retry_budget import RetryBudget


def take_all(budget):
    taken = 0
    while budget.try_take():
        taken += 1
    return taken


class TestRetryBudget:
    def test_a_tenth_of_the_calls_may_be_retried(self):
        budget = RetryBudget(0)
        assert take_all(budget) == 10
        for _ in range(51):
            budget.record_call(0)
        assert take_all(budget) == 5

    def test_a_quiet_service_earns_one_retry_a_second(self):
        budget = RetryBudget(0)
        take_all(budget)
        budget.record_call(2950)
        assert take_all(budget) == 3

    def test_saved_retries_are_bounded(self):
        budget = RetryBudget(0)
        budget.record_call(1e9)
        assert take_all(budget) == 10

    def test_retry_needs_the_time_of_a_usual_answer(self):
        budget = RetryBudget(0)
        budget.record_answer(100)
        assert [budget.has_time(ms) for ms in (0, 100, 101)] == [False, False, True]
