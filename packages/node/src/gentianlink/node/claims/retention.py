"""Retention of claims: expiry of keys, removal and compaction of rows."""

import attrs

from gentianlink.node.claims.claim_state import ClaimState
from gentianlink.node.claims.key_time import get_key_time_ms

TIMED_PREFIX = "claim/timed/"
PLAIN_PREFIX = "claim/plain/"
REMOVAL_FACTOR = 2


def get_claim_key(key):
    """Return the key of the row of an idempotency key.

    Rows of keys that contain a time sort by that time, oldest first.

    Parameters
    ----------
    key : str
        Idempotency key.

    Returns
    -------
    str
        Key of the row.
    """
    prefix = PLAIN_PREFIX if get_key_time_ms(key) is None else TIMED_PREFIX
    return prefix + key


def is_expired(key, retention_ms, now_ms):
    """Return whether a key is past its retention, so that it may not be claimed.

    Parameters
    ----------
    key : str
        Idempotency key.
    retention_ms : int
        Retention of claims in milliseconds.
    now_ms : int
        Present time in milliseconds since the epoch.

    Returns
    -------
    bool
        True if the time in the key is longer ago than the retention; False for a key
        without a time.
    """
    time_ms = get_key_time_ms(key)
    return time_ms is not None and now_ms - time_ms > retention_ms


def is_removable(key, retention_ms, now_ms):
    """Return whether the row of a key may be removed.

    A row is removed after twice the retention: nodes whose clocks differ by less than
    one retention then agree that the key has expired before its row is removed.

    Parameters
    ----------
    key : str
        Idempotency key.
    retention_ms : int
        Retention of claims in milliseconds.
    now_ms : int
        Present time in milliseconds since the epoch.

    Returns
    -------
    bool
        True if the key is expired on the clock of every node.
    """
    return is_expired(key, REMOVAL_FACTOR * retention_ms, now_ms)


def compact(claim, retention_ms, now_ms):
    """Return a claim without its answer's headers and body if it is past the retention.

    Meant for rows of keys without a time, which are never removed.

    Parameters
    ----------
    claim : Claim
        Content of the row.
    retention_ms : int
        Retention of claims in milliseconds.
    now_ms : int
        Present time in milliseconds since the epoch.

    Returns
    -------
    Claim
        The smaller claim, or the same object if there is nothing to leave out.
    """
    if claim.state is not ClaimState.DONE or claim.answer is None:
        return claim
    is_old = now_ms - claim.claimed_ms > retention_ms
    if not is_old or not claim.answer.is_whole:
        return claim
    answer = attrs.evolve(claim.answer, headers=(), body="", is_whole=False)
    return attrs.evolve(claim, answer=answer)
