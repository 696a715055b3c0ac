from gentianlink.node.proxy.retry_budget import RetryBudget


def take_all(budget):
    taken = 0
    while budget.try_take():
        taken += 1
    return taken


class TestRetryBudget:
    def test_each_call_adds_a_tenth_of_a_retry(self):
        budget = RetryBudget(0)
        assert take_all(budget) == 10
        for _ in range(51):
            budget.record_call(0)
        assert take_all(budget) == 5

    def test_each_second_adds_one_retry(self):
        budget = RetryBudget(0)
        take_all(budget)
        budget.record_call(2950)
        assert take_all(budget) == 3

    def test_retries_do_not_accumulate_beyond_the_bound(self):
        budget = RetryBudget(0)
        budget.record_call(1e9)
        assert take_all(budget) == 10

    def test_retry_needs_the_mean_time_of_an_answer(self):
        budget = RetryBudget(0)
        budget.record_answer(100)
        assert [budget.has_time(ms) for ms in (0, 100, 101)] == [False, False, True]
