"""Exponential back-off with jitter."""

import random

# Caps the exponent, so that the power stays small after many failed attempts; ten
# doublings exceed every upper bound in use.
MAX_DOUBLINGS = 10


def compute_backoff_s(attempt, first_ms, max_ms):
    """Return the delay before the next attempt, with up to one half of jitter.

    Parameters
    ----------
    attempt : int
        Number of attempts that failed so far, at least 1.
    first_ms : float
        Longest delay in milliseconds after the first failed attempt; the longest delay
        doubles with each further one.
    max_ms : float
        Upper bound of the delay in milliseconds.

    Returns
    -------
    float
        Delay in seconds, between one half and the whole of the longest delay.
    """
    longest_ms = min(max_ms, first_ms * 2 ** min(attempt - 1, MAX_DOUBLINGS))
    return random.uniform(0.5, 1.0) * longest_ms / 1000
