"""Read the headers of the contract from a call."""

import string

from gentianlink.core import headers as names
from gentianlink.core.reason import Reason
from gentianlink.core.work_class import WorkClass
from gentianlink.node.proxy.refusal import Refusal
from gentianlink.ops.validate_catalogue import MAX_DEADLINE_MS

MAX_KEY_LENGTH = 128
_KEY_CHARACTERS = frozenset(string.ascii_letters + string.digits + "-_.:")


def parse_deadline_ms(headers, default_ms):
    """Return the time that the caller allows.

    Parameters
    ----------
    headers : HTTPHeaders
        Headers of the call.
    default_ms : int
        Time for calls that name none.

    Returns
    -------
    remaining_ms : int or None
        Time in milliseconds, None if the header is bad.
    """
    value = headers.get(names.DEADLINE_MS)
    if value is None:
        return default_ms
    if not (value.isascii() and value.isdigit()):
        return None
    remaining_ms = int(value[:12])
    if remaining_ms > MAX_DEADLINE_MS:
        return None
    return remaining_ms


def validate_key(key, work_class):
    """Return why a call's idempotency key is refused.

    Parameters
    ----------
    key : str
        The key; empty if there is none.
    work_class : WorkClass
        Class of the entry.

    Returns
    -------
    Refusal or None
        None if the key is good.
    """
    if work_class is not WorkClass.AT_MOST_ONCE:
        return None
    if not key:
        return Refusal(Reason.KEY_REQUIRED)
    if len(key) > MAX_KEY_LENGTH or not _KEY_CHARACTERS.issuperset(key):
        return Refusal(Reason.BAD_KEY)
    return None
