"""The present time; functions that decide take it as an argument."""

import time


def get_now_ms():
    """Return the wall clock in milliseconds since the epoch."""
    return time.time_ns() // 1_000_000


def get_monotonic_ms():
    """Return a clock that never goes back, in milliseconds as a float."""
    return time.monotonic() * 1000
