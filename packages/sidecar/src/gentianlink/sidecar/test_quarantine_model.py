"""Crashing requests in fleets of several sizes, in virtual time; no network."""

import pytest

from gentianlink.testing.quarantine_model import Day, run_day

# The platform allows this number of further sendings of a request that has crashed
# three targets.
MAX_FURTHER = 3


class TestQuarantineModel:
    # Guards against a quarantine that comes too late or takes the wrong request.
    @pytest.mark.parametrize(
        ("count", "seed"),
        [*((11, seed) for seed in range(1, 11)), (48, 1), (48, 2), (100, 1)],
    )
    def test_crashing_requests_are_found_in_time_and_no_others(self, count, seed):
        result = run_day(count, seed)
        assert result.crashes >= 9
        assert result.further <= MAX_FURTHER
        assert result.refused_others == 0

    # Guards against refusing a popular request, because targets that crash for another
    # reason crash with it, while the other targets complete it (RECOVER).
    @pytest.mark.parametrize("unstable", [1, 2, 4])
    @pytest.mark.parametrize("seed", range(1, 6))
    def test_popular_request_stays_served_beside_unstable_targets(self, unstable, seed):
        day = Day(has_crashing=False, unstable=unstable, popular_share=0.9)
        result = run_day(11, seed, day)
        assert result.crashes >= 3 * unstable
        assert result.refused_others == 0

    # Guards against a crashing request that passes for harmless beside such a target.
    @pytest.mark.parametrize("seed", range(1, 6))
    def test_crashing_request_is_found_beside_unstable_targets(self, seed):
        result = run_day(22, seed, Day(unstable=2, popular_share=0.9))
        assert result.further <= MAX_FURTHER
        assert result.refused_others == 0

    # Guards against a crashing request that goes on if only one target is left.
    @pytest.mark.parametrize("seed", range(1, 4))
    def test_crashing_request_is_found_with_one_target(self, seed):
        result = run_day(1, seed, Day(services=1))
        assert result.further <= MAX_FURTHER
