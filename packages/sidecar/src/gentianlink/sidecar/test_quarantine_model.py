"""Crashing requests in fleets of several sizes, in virtual time; no network."""

import pytest

from gentianlink.testing.quarantine_model import run_day

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
