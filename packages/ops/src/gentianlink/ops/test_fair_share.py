import pytest

from gentianlink.ops.fair_share import compute_fair_share


class TestComputeFairShare:
    @pytest.mark.parametrize(
        ("demands", "capacity", "share"),
        [
            ([], 10, 10),
            ([100], 10, 10),
            ([4, 5], 10, 10),
            ([100, 100], 10, 5),
            ([1, 100], 10, 9),
            ([1, 3, 100, 100], 10, 3),
            ([0, 0, 100], 9, 9),
        ],
    )
    def test_small_demands_are_met_and_large_ones_share_equally(
        self, demands, capacity, share
    ):
        assert compute_fair_share(demands, capacity) == share
