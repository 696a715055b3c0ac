"""Parse and validate the request line and the mesh headers of a call."""

import string

from gentianlink.core import headers as names
from gentianlink.core.reason import Reason
from gentianlink.core.work_class import WorkClass
from gentianlink.node.proxy.refusal import Refusal
from gentianlink.ops.validate_catalogue import MAX_DEADLINE_MS

MAX_KEY_LENGTH = 128
MAX_CALLER_LENGTH = 64
MAX_ATTEMPT = 99
REFUSED_METHODS = frozenset(("CONNECT", "TRACE"))
_KEY_CHARACTERS = frozenset(string.ascii_letters + string.digits + "-_.:")


def parse_deadline_ms(headers, default_ms):
    """Return the time that the caller allows for the call.

    Parameters
    ----------
    headers : HTTPHeaders
        Headers of the call.
    default_ms : int
        Time in milliseconds for calls without the header.

    Returns
    -------
    remaining_ms : int or None
        Time in milliseconds; None if the header is invalid.
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
    """Return the refusal for a missing or malformed idempotency key.

    Parameters
    ----------
    key : str
        The key; empty if there is none.
    work_class : WorkClass
        Class of the entry.

    Returns
    -------
    Refusal or None
        None if the key is valid or not needed.
    """
    if work_class is not WorkClass.AT_MOST_ONCE:
        return None
    if not key:
        return Refusal(Reason.KEY_REQUIRED)
    if len(key) > MAX_KEY_LENGTH or not _KEY_CHARACTERS.issuperset(key):
        return Refusal(Reason.BAD_KEY)
    return None


def parse_attempt(headers):
    """Return the attempt number that a call states.

    An invalid number counts as ``MAX_ATTEMPT``, so that it can't cause more retries.

    Parameters
    ----------
    headers : HTTPHeaders
        Headers of the call.

    Returns
    -------
    int
        Number of the attempt, from 1.
    """
    value = headers.get(names.ATTEMPT)
    if value is None:
        return 1
    if not (value.isascii() and value.isdigit()):
        return MAX_ATTEMPT
    return min(MAX_ATTEMPT, max(1, int(value[:4])))


def parse_caller(headers, remote_address):
    """Return the name of the caller, for fair sharing of limits and queues.

    Parameters
    ----------
    headers : HTTPHeaders
        Headers of the call.
    remote_address : str
        IP address of the caller.

    Returns
    -------
    str
        Value of the caller header if it is valid, else the IP address.
    """
    name = headers.get(names.CALLER, "")
    if 0 < len(name) <= MAX_CALLER_LENGTH and name.isascii() and name.isprintable():
        return name
    return remote_address


def validate_request(start_line, headers):
    """Return the refusal for a request that is invalid whatever its route.

    Parameters
    ----------
    start_line : RequestStartLine
        Method, target and version.
    headers : HTTPHeaders
        Headers of the call.

    Returns
    -------
    Refusal or None
        None if the request is valid.
    """
    if start_line.version != "HTTP/1.1":
        return Refusal(Reason.BAD_REQUEST)
    if start_line.method in REFUSED_METHODS:
        return Refusal(Reason.BAD_REQUEST)
    if not start_line.path.startswith("/"):
        return Refusal(Reason.BAD_REQUEST)
    if len(headers.get_list("Host")) != 1:
        return Refusal(Reason.BAD_REQUEST)
    return None
