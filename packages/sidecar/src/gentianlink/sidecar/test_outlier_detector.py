"""Outlier ejection of targets that fail calls while passing their health checks."""

import random

import attrs
import pytest

from gentianlink.core.target_state import TargetState
from gentianlink.sidecar.local_target import LocalTarget
from gentianlink.sidecar.outlier_detector import (
    FIRST_EJECTION_MS,
    MIN_OUTCOMES,
    OutlierDetector,
)
from gentianlink.sidecar.peer_directory import PeerDirectory
from gentianlink.sidecar.peer_record import PeerRecord
from gentianlink.sidecar.routing.load_view import LoadView
from gentianlink.sidecar.target_info import TargetInfo
from gentianlink.sidecar.target_load import TargetLoad

SERVICE = "inquiry"
# Time between two outcomes in milliseconds.
STEP_MS = 50.0


def run_calls(detector, failed_share, seconds, seed, start_ms=0.0):
    """Return the share of steps at which the target was ejected."""
    rng = random.Random(seed)
    ejected_steps = 0
    steps = int(seconds * 1000 / STEP_MS)
    for step in range(steps):
        now_ms = start_ms + step * STEP_MS
        if detector.is_failing(now_ms):
            ejected_steps += 1
        else:
            detector.record(rng.random() < failed_share, now_ms)
    return ejected_steps / steps


@pytest.mark.parametrize("seed", range(5))
class TestOutlierDetector:
    def test_target_that_fails_all_calls_is_ejected_soon(self, seed):
        assert run_calls(OutlierDetector(), 1.0, 7, seed) >= 0.85

    def test_target_that_fails_half_of_its_calls_is_used_most_of_the_time(self, seed):
        assert run_calls(OutlierDetector(), 0.45, 60, seed) <= 0.25

    def test_healthy_target_is_seldom_ejected(self, seed):
        assert run_calls(OutlierDetector(), 0.02, 60, seed) <= 0.05

    def test_recovered_target_is_used_after_its_ejection(self, seed):
        detector = OutlierDetector()
        run_calls(detector, 1.0, 1, seed)
        assert detector.is_failing(1000.0)
        assert run_calls(detector, 0.0, 60, seed, start_ms=1000.0) <= 0.05

    def test_target_that_fails_again_is_ejected_for_longer(self, seed):
        detector = OutlierDetector()
        for number in range(MIN_OUTCOMES):
            detector.record(True, float(number))
        assert detector.is_failing(FIRST_EJECTION_MS)
        readmitted_ms = FIRST_EJECTION_MS + 10.0
        assert not detector.is_failing(readmitted_ms)
        detector.record(True, readmitted_ms)
        detector.record(True, readmitted_ms)
        assert detector.is_failing(readmitted_ms + FIRST_EJECTION_MS + 1.0)


class TestChoiceAmongFailingTargets:
    """One target in five fails, or all fail as a service that they call is down."""

    def list_candidates(self, failing, total=5):
        records = [self.make_record(i, is_failing=i < failing) for i in range(total)]
        directory = PeerDirectory(PeerRecord("own", 1, 0, "a", "p", "f"))
        for record in records:
            directory.update_record(record, 0.0)
        found = directory.get_candidates(SERVICE, LoadView(), lambda _: False, 0.0, 0)
        return {item.target_id for item in found}

    def test_failing_target_is_not_preferred_because_it_is_near(self):
        directory = PeerDirectory(PeerRecord("own", 1, 0, "a", "p", "f"))
        directory.update_record(self.make_record(1, is_failing=True), 0.0)
        args = (SERVICE, LoadView(), lambda _: False, 0.0, 0)
        assert directory.get_candidates(*args, is_near_only=True) == []
        assert len(directory.get_candidates(*args)) == 1

    def test_failing_targets_are_used_when_the_healthy_ones_are_full(self):
        """Under overload, a call that may fail is better than a refusal."""
        directory = PeerDirectory(PeerRecord("own", 1, 0, "a", "p", "f"))
        for number in range(5):
            record = self.make_record(number, is_failing=number == 0)
            directory.update_record(record, 0.0)
        view = LoadView()
        for number in range(1, 5):
            view.report(f"node-{number}", TargetLoad(3, 0, 0.0), 0.0)
        found = directory.get_candidates(SERVICE, view, lambda _: False, 0.0, 0)
        assert "i-0" in {item.target_id for item in found}

    def make_record(self, number, is_failing):
        target = TargetInfo(f"i-{number}", SERVICE, 3, TargetState.READY, 1, 1)
        target = attrs.evolve(target, is_failing=is_failing)
        name = f"node-{number}"
        return PeerRecord(name, 1, 0, "a", name, name, target=target)

    def test_failing_targets_are_avoided_while_healthy_ones_have_free_slots(self):
        assert self.list_candidates(failing=1) == {"i-1", "i-2", "i-3", "i-4"}

    def test_all_targets_are_used_when_most_of_them_fail(self):
        assert len(self.list_candidates(failing=3)) == 5
        assert len(self.list_candidates(failing=5)) == 5


class TestChangeNotification:
    def test_other_nodes_are_notified_when_a_target_is_ejected_and_readmitted(self):
        notified = []
        target = LocalTarget(
            "10.0.0.1:80",
            lambda: notified.append(target.info.is_failing),
            lambda info, calls: None,
        )
        info = TargetInfo("i-1", SERVICE, 3, TargetState.READY, 1, 1)
        target.restore(info, 0.0)
        for number in range(MIN_OUTCOMES):
            target.note_outcome(True, float(number))
        target.check_failing(FIRST_EJECTION_MS - 1.0)
        target.check_failing(FIRST_EJECTION_MS + 10.0)
        assert notified == [False, True, False]
