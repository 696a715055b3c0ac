import random

import pytest

from gentianlink.core.bounds import Bounds
from gentianlink.sidecar.retries.retry_share import RetryShare

BOUNDS = Bounds()
SERVICE = "inquiry"


def repeat(share, nodes, has_run, now_ms):
    """Make a repeat that ends at once; return whether the share had room for it."""
    is_granted = share.try_take(SERVICE, nodes, has_run, True, now_ms)
    if is_granted:
        share.end(SERVICE, True, now_ms)
    return is_granted


class TestRetryShare:
    @pytest.mark.parametrize("nodes", [1, 11, 89])
    def test_shares_of_all_nodes_stay_within_the_budget(self, nodes):
        shares = [RetryShare(BOUNDS, 0.0) for _ in range(nodes)]
        rng = random.Random(3)
        calls = 3000
        taken = 0
        for number in range(calls):
            now_ms = 20_000 + number * BOUNDS.retry_window_ms / calls
            share = rng.choice(shares)
            share.record_call(SERVICE, now_ms)
            taken += repeat(share, nodes, False, now_ms)
        assert 0 < taken <= BOUNDS.retry_ratio * calls + BOUNDS.retry_extra

    def test_restarted_process_does_not_spend_the_constant_again(self):
        share = RetryShare(BOUNDS, 50_000.0)
        assert not repeat(share, 1, False, 50_001.0)

    def test_retries_expire_with_the_sliding_window(self):
        share = RetryShare(BOUNDS, 0.0)
        times = [20_000.0 + number for number in range(100)]
        taken = sum(repeat(share, 1, True, item) for item in times)
        assert 0 < taken < 100
        assert not repeat(share, 1, True, 20_101.0)
        assert repeat(share, 1, True, 30_101.0)

    # Guards against more arrivals than the budget has within one window, of repeats
    # that were granted over a longer time and were held up together.
    def test_repeat_counts_until_a_window_after_its_end(self):
        share = RetryShare(BOUNDS, 0.0)
        pending = 0
        while share.try_take(SERVICE, 1, False, True, 20_000.0):
            pending += 1
        assert not repeat(share, 1, False, 40_000.0)
        for _ in range(pending):
            share.end(SERVICE, True, 40_000.0)
        assert not repeat(share, 1, False, 49_999.0)
        assert repeat(share, 1, False, 50_001.0)

    # Guards against losing the budget to repeats that no target has received.
    def test_repeat_that_has_not_arrived_is_given_back(self):
        share = RetryShare(BOUNDS, 0.0)
        for _ in range(1000):
            assert share.try_take(SERVICE, 1, False, True, 20_000.0)
            share.end(SERVICE, False, 20_000.0)
