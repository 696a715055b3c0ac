"""The time at which an idempotency key was made, where the key says it."""

import re

_UUID_7 = re.compile(
    "([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}"
)


def get_key_time_ms(key):
    """Return the time in a key that is a UUID of version 7.

    Parameters
    ----------
    key : str
        Idempotency key.

    Returns
    -------
    int or None
        Milliseconds since the epoch; None for every other key.
    """
    match = _UUID_7.fullmatch(key)
    if match is None:
        return None
    return int(match[1] + match[2], 16)
