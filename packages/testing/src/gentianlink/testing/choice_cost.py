"""Measure the processor time of a choice of target.

Run as ``python -m gentianlink.testing.choice_cost``.
"""

import logging
import time

import structlog

from gentianlink.core.target_state import TargetState
from gentianlink.sidecar.peer_directory import PeerDirectory
from gentianlink.sidecar.peer_record import PeerRecord
from gentianlink.sidecar.routing.call_progress import CallProgress
from gentianlink.sidecar.routing.expected_time import CallObjective
from gentianlink.sidecar.routing.load_view import LoadView
from gentianlink.sidecar.routing.timed_choice import CallTerms
from gentianlink.sidecar.target_info import TargetInfo
from gentianlink.sidecar.target_load import TargetLoad

SIZES = 10, 53, 500
REPEATS = 5
CHOICES = 400
SERVICE = "service"
# Published times of alternate targets.
EVEN = 250, 250
UNEVEN = 250, 500


def _make_record(number, service, work_ms, is_one_data_centre):
    info = TargetInfo(
        f"t-{number}",
        service,
        9,
        TargetState.READY,
        1000,
        7,
        work_ms=(("read", work_ms[number // 3 % 2]),),
    )
    data_centre = "a" if is_one_data_centre else "abc"[number % 3]
    host = f"10.0.{number // 200}.{number % 200}"
    return PeerRecord(
        f"n-{number}", 5, 2, data_centre, f"{host}:1", f"{host}:2", 2.5, False, info
    )


def measure_choice_us(size, has_own_target, work_ms, in_flight=3):
    """Return the time of one choice in microseconds.

    Parameters
    ----------
    size : int
        Targets of the service, in three data centres.
    has_own_target : bool
        Whether one of them is beside the choosing node.
    work_ms : tuple of int
        Published times of alternate targets.
    in_flight : int, optional
        Calls in flight at each target, of nine slots.

    Returns
    -------
    float
        Shortest mean of :data:`REPEATS` runs.
    """
    own = SERVICE if has_own_target else "other"
    directory = PeerDirectory(_make_record(0, own, work_ms, False))
    for number in range(1, size):
        directory.update_record(_make_record(number, SERVICE, work_ms, False), 0.0)
    view = LoadView()
    for number in range(size):
        view.report(f"n-{number}", TargetLoad(in_flight, 0, 0.0), 0.0)

    def find(is_near_only):
        return directory.get_candidates(
            SERVICE, view, lambda target_id: False, 1.0, 10**13, is_near_only
        )

    terms = CallTerms(CallObjective("read", 806.0, 806.0), lambda name: 0.5, 20.0, 0.9)
    shortest_s = float("inf")
    for _ in range(REPEATS):
        started_s = time.perf_counter()
        for _ in range(CHOICES):
            CallProgress(terms).choose(find)
        shortest_s = min(shortest_s, time.perf_counter() - started_s)
    return shortest_s / CHOICES * 1e6


def main():
    """Print the time of a choice by number of targets."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.WARNING)
    )
    for size in SIZES:
        for has_own_target in (True, False):
            own = "own target" if has_own_target else "no own target"
            times = ", ".join(
                f"{name} {measure_choice_us(size, has_own_target, *values):.1f} us"
                for name, values in (
                    ("equal", (EVEN,)),
                    ("uneven", (UNEVEN,)),
                    ("full", (EVEN, 9)),
                )
            )
            print(f"{size} targets, {own}: {times}")


if __name__ == "__main__":
    main()
