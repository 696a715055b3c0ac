"""Recognise a request that comes again with another id."""

import hashlib

import attrs

from gentianlink.platform import wire

# Small enough for the reports that nodes exchange; with a million requests the chance
# that two of them share their content's digest is below one in ten million.
CONTENT_BYTES = 8
CONTENT_DIGITS = 2 * CONTENT_BYTES
CALLER_BYTES = 2
# The beginning of a body that every node has at hand, also if the rest is streamed.
HEAD_BYTES = 64 * 1024


@attrs.frozen
class CallSummary:
    """What is kept of a call after it has ended.

    Attributes
    ----------
    request_id : str
        Id of the call.
    fingerprint : str
        Fingerprint of its content and its caller.
    method : str
        HTTP method.
    host : str
        Host that the caller asked for.
    path : str
        Path without the query.
    caller : str
        Service from which the call came.
    body_bytes : int
        Size of the body that was buffered.
    """

    request_id: str
    fingerprint: str
    method: str
    host: str
    path: str
    caller: str
    body_bytes: int


def compute_fingerprint(call):
    """Return the fingerprint of a call's content and its caller.

    Neither the id nor the node where the call arrived counts, and of the body only the
    first 64 KB.

    Parameters
    ----------
    call : Call
        The call.

    Returns
    -------
    str
        Hexadecimal digits: first those of the content, then those of the caller.
    """
    host = call.headers.get("Host", "").lower()
    # The delimiter occurs in none of the parts before the body.
    parts = (call.method, host, call.target, "")
    content = hashlib.blake2b("\0".join(parts).encode(), digest_size=CONTENT_BYTES)
    content.update(_get_body_head(call))
    caller = call.headers.get(wire.CALLING_SERVICE, "").encode()
    caller_digest = hashlib.blake2b(caller, digest_size=CALLER_BYTES)
    return content.hexdigest() + caller_digest.hexdigest()


def get_content(fingerprint):
    """Return the part of a fingerprint that stands for the content."""
    return fingerprint[:CONTENT_DIGITS]


def get_caller(fingerprint):
    """Return the part of a fingerprint that stands for the caller."""
    return fingerprint[CONTENT_DIGITS:]


def summarize_call(call):
    """Return what is kept of a call.

    Parameters
    ----------
    call : Call
        The call.

    Returns
    -------
    CallSummary
        Its id, its fingerprint, and what helps to find it in other logs.
    """
    headers = call.headers
    return CallSummary(
        request_id=headers.get(wire.REQUEST_ID, ""),
        fingerprint=compute_fingerprint(call),
        method=call.method,
        host=headers.get("Host", ""),
        path=call.path,
        caller=headers.get(wire.CALLING_SERVICE, ""),
        body_bytes=len(_get_body_head(call)),
    )


def _get_body_head(call):
    body = call.body if call.stream is None else call.stream.prefix
    return body[:HEAD_BYTES]
