"""Estimates of execution times and choices by them, without a model."""

import math
import random

import pytest

from gentianlink.sidecar.routing.choose import Candidate
from gentianlink.sidecar.routing.data_centre_loads import SHORT_STREAK, DataCentreLoads
from gentianlink.sidecar.routing.expected_time import CallObjective, compute_loss_ms
from gentianlink.sidecar.routing.leaving import compute_leave_share
from gentianlink.sidecar.routing.timed_choice import (
    TRIAL,
    CallTerms,
    choose_by_time,
    choose_near,
)
from gentianlink.sidecar.routing.work_estimator import (
    HYSTERESIS,
    MAX_RULES,
    WorkEstimator,
)
from gentianlink.sidecar.target_load import TargetLoad

OBJECTIVE = CallObjective("read", 806.0, 806.0)


def make_terms(seed=1):
    return CallTerms(OBJECTIVE, lambda name: 0.5, 20.0, 0.5, random.Random(seed))


def make_candidate(name, work_ms, is_own=False, in_flight=0):
    times = (("read", work_ms),) if work_ms else ()
    return Candidate(name, name, is_own, True, 9, in_flight, 0, 0.0, work_ms=times)


class TestWorkEstimator:
    def draw_ms(self, rng, median_ms):
        value = median_ms * rng.lognormvariate(0, 0.5)
        return value * rng.uniform(3, 5) if rng.random() < 0.01 else value

    @pytest.mark.parametrize("seed", range(5))
    def test_published_times_of_a_steady_target_seldom_change(self, seed):
        rng = random.Random(seed)
        estimator = WorkEstimator()
        changes = []
        for half_second in range(240):
            now_ms = half_second * 500.0
            for _ in range(8):
                estimator.record("read", self.draw_ms(rng, 230), False, now_ms)
            before = estimator.published
            if estimator.refresh(now_ms) != before:
                changes.append(half_second)
        # Each change costs all nodes processor time.
        assert len([item for item in changes if item > 20]) <= 2
        assert abs(math.log(dict(estimator.published)["read"] / 230)) < 2 * HYSTERESIS

    def test_target_that_becomes_slow_shows_before_its_calls_end(self):
        estimator = WorkEstimator()
        for _ in range(50):
            estimator.record("read", 200.0, False, 0.0)
        estimator.refresh(0.0)
        for _ in range(9):
            estimator.begin("read", 5000.0)
        assert dict(estimator.refresh(6000.0))["read"] > 800

    def test_time_that_is_not_measured_any_more_loses_its_weight(self):
        estimator = WorkEstimator()
        for _ in range(300):
            estimator.record("read", 200.0, False, 0.0)
        for _ in range(20):
            estimator.record("read", 1000.0, False, 0.0)
        assert dict(estimator.refresh(0.0))["read"] > 600
        assert dict(estimator.refresh(10_000.0))["read"] < 300

    def test_early_failures_do_not_make_a_target_look_fast(self):
        estimator = WorkEstimator()
        for _ in range(50):
            estimator.record("read", 200.0, False, 0.0)
        for _ in range(50):
            estimator.record("read", 2.0, True, 0.0)
        assert dict(estimator.refresh(0.0))["read"] > 150

    def test_only_the_most_called_rules_are_published(self):
        estimator = WorkEstimator()
        for number in range(10):
            for _ in range(8 + number):
                estimator.record(f"r-{number}", 100.0, False, 0.0)
        names = [name for name, _ in estimator.refresh(0.0)]
        assert names == ["r-7", "r-8", "r-9"]
        assert len(names) == MAX_RULES


class TestChooseByTime:
    def test_fast_target_comes_before_the_slow_own_one(self):
        own = make_candidate("own", 500, is_own=True)
        fast = make_candidate("fast", 250, in_flight=6)
        assert choose_near([own, fast], set(), make_terms())[0].candidate is fast

    def test_own_target_stays_first_among_equal_ones(self):
        own = make_candidate("own", 297, is_own=True, in_flight=8)
        others = [make_candidate(f"t-{n}", 250) for n in range(5)]
        assert choose_near([own, *others], set(), make_terms())[0].candidate is own

    def test_call_that_found_a_fast_target_full_takes_a_slow_one(self):
        slow = make_candidate("slow", 500)
        fast = make_candidate("fast", 250)
        candidate, _ = choose_by_time([slow, fast], {"fast"}, make_terms())
        assert candidate is slow

    def test_unknown_target_gets_some_calls_but_no_herd(self):
        candidates = [make_candidate("new", 0), make_candidate("fast", 250)]
        candidates += [make_candidate(f"slow-{n}", 500) for n in range(4)]
        terms = make_terms()
        whys = [choose_by_time(candidates, set(), terms)[1] for _ in range(2000)]
        assert 0.03 < whys.count(TRIAL) / 2000 < 0.07


class TestLeaving:
    def test_loss_grows_with_work_and_wait(self):
        losses = [
            compute_loss_ms(OBJECTIVE, work_ms, delay_ms)
            for work_ms, delay_ms in ((250, 0), (250, 300), (500, 0), (500, 300))
        ]
        assert losses == sorted(losses, key=lambda loss: loss)
        assert compute_loss_ms(OBJECTIVE, 250, 900) == pytest.approx(0.6 * 806)

    def test_share_grows_steadily_from_the_price(self):
        shares = [compute_leave_share(gain, 20.0) for gain in (0, 20, 30, 40, 400)]
        assert shares == [0.0, 0.0, 0.5, 1.0, 1.0]

    def test_data_centre_that_refuses_calls_is_tried_again_later(self):
        loads = DataCentreLoads()
        for _ in range(SHORT_STREAK):
            loads.report("s", "b", TargetLoad(9, 2, 50.0), 9, 0.0)
        assert loads.get_load("s", "b", 1000.0) > 1.0
        assert loads.get_load("s", "b", 15_000.0) < 0.9
        assert loads.get_load("other", "b", 0.0) < 0.9
