"""Waits between attempts to reach the platform."""

import random

# So many doublings exceed every bound in use.
MAX_DOUBLINGS = 10


def compute_backoff_s(attempt, first_ms, max_ms):
    """Return a wait before the next attempt, of which a half is random.

    Parameters
    ----------
    attempt : int
        Attempts that failed so far, at least 1.
    first_ms : float
        Bound in milliseconds after the first one; it doubles with each.
    max_ms : float
        Largest bound in milliseconds.

    Returns
    -------
    float
        Wait in seconds.
    """
    bound_ms = min(max_ms, first_ms * 2 ** min(attempt - 1, MAX_DOUBLINGS))
    return random.uniform(0.5, 1.0) * bound_ms / 1000
