"""Creation time of idempotency keys that are UUIDs of version 7."""

import re

_UUID_7 = re.compile(
    "([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}"
)


def get_key_time_ms(key):
    """Return the creation time that a UUID of version 7 contains.

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
