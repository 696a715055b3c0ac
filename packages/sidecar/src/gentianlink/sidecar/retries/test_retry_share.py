import random

import pytest

from gentianlink.core.bounds import Bounds
from gentianlink.sidecar.retries.retry_share import RetryShare

BOUNDS = Bounds()
SERVICE = "inquiry"


def make_share(nodes=1, started_ms=0.0):
    return RetryShare(BOUNDS, lambda: nodes, started_ms)


def repeat(share, now_ms):
    """Make a repeat that ends at once; return whether the share had room for it."""
    is_granted = share.try_take(SERVICE, True, now_ms)
    if is_granted:
        share.end(SERVICE, True, now_ms)
    return is_granted


class TestRetryShare:
    @pytest.mark.parametrize("nodes", [1, 11, 89])
    def test_shares_of_all_nodes_stay_within_the_budget(self, nodes):
        shares = [make_share(nodes) for _ in range(nodes)]
        rng = random.Random(3)
        calls = 3000
        taken = 0
        for number in range(calls):
            now_ms = 20_000 + number * BOUNDS.retry_window_ms / calls
            share = rng.choice(shares)
            share.record_call(SERVICE, now_ms)
            taken += repeat(share, now_ms)
        assert 0 < taken <= BOUNDS.retry_ratio * calls + BOUNDS.retry_extra

    def test_restarted_process_does_not_spend_the_constant_again(self):
        share = make_share(started_ms=50_000.0)
        assert not repeat(share, 50_001.0)

    def test_retries_expire_with_the_sliding_window(self):
        share = make_share()
        times = [20_000.0 + number for number in range(100)]
        taken = sum(repeat(share, item) for item in times)
        assert 0 < taken < 100
        assert not repeat(share, 20_101.0)
        assert repeat(share, 30_101.0)

    # Guards against more arrivals than the budget has within one window, of repeats
    # that were granted over a longer time and were held up together.
    def test_repeat_counts_until_a_window_after_its_end(self):
        share = make_share()
        pending = 0
        while share.try_take(SERVICE, True, 20_000.0):
            pending += 1
        assert not repeat(share, 40_000.0)
        for _ in range(pending):
            share.end(SERVICE, True, 40_000.0)
        assert not repeat(share, 49_999.0)
        assert repeat(share, 50_001.0)

    # Guards against losing the budget to repeats that no target has received.
    def test_repeat_that_has_not_arrived_is_given_back(self):
        share = make_share()
        for _ in range(1000):
            assert share.try_take(SERVICE, True, 20_000.0)
            share.end(SERVICE, False, 20_000.0)

    # Guards against a part of the constant for each of many processes that start at the
    # same time and know no other node.
    def test_process_that_knows_no_other_node_spends_nothing_of_the_constant(self):
        assert repeat(make_share(), 20_000.0)
        assert not repeat(make_share(nodes=0), 20_000.0)
