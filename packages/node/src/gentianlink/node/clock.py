"""Wall clock and monotonic clocks.

Functions whose result depends on the present time take it as an argument.
"""

import time


def get_now_ms():
    """Return the time of the wall clock in milliseconds since the epoch."""
    return time.time_ns() // 1_000_000


def get_monotonic_ms():
    """Return the time of the monotonic clock in milliseconds, as a float."""
    return time.monotonic() * 1000


def get_boot_ms():
    """Return the time of the monotonic clock that counts while a machine is suspended.

    Returns
    -------
    float
        Time in milliseconds; only differences are meaningful.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000
