"""Write one answer to a caller: a target's answer as a stream, or a refusal."""

import math

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders, ResponseStartLine, responses
from tornado.iostream import StreamClosedError

from gentianlink.core import headers as names
from gentianlink.core.outcome import Outcome
from gentianlink.node.proxy.errors import CallerGone

HOP_BY_HOP = frozenset(
    (
        "Connection",
        "Keep-Alive",
        "Proxy-Authenticate",
        "Proxy-Authorization",
        "Proxy-Connection",
        "Te",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
    )
)
NEVER_HOP_BY_HOP = frozenset(("content-length", "host"))
REFUSAL_HEADERS = (names.REASON, names.RETRY_AFTER_MS, names.FREE_SLOTS)
MS_PER_S = 1000


class AnswerWriter:
    """Writes the answer of one exchange to the caller's connection.

    Parameters
    ----------
    connection : HTTP1Connection
        Connection of the caller.
    is_head : bool, optional
        Whether the method is HEAD, so that no body is sent.
    """

    def __init__(self, connection: HTTP1Connection, is_head=False):
        self._connection = connection
        self._is_head = is_head
        self._is_started = False

    @property
    def is_started(self):
        """Whether any part of the answer was written."""
        return self._is_started

    def check_caller(self):
        """Check that the caller still waits, before something is done for it.

        The event loop may have read the call and the end of the connection together,
        and reports the end only after the call has been handled.

        Raises
        ------
        CallerGone
            If the caller has closed its connection.
        """
        if self._connection.stream.is_closed_by_peer:
            raise CallerGone

    async def wait_turn(self):
        """Wait until the answer may be written; at once for this writer."""

    def may_buffer(self, size):
        """Return whether a part of the answer may be kept until all of it is known.

        Parameters
        ----------
        size : int
            Number of bytes.

        Returns
        -------
        bool
            Always true for this writer: the size of one answer is bounded elsewhere.
        """
        return True

    async def start(self, status, headers, chunk=b""):
        """Write the status line and the headers.

        Parameters
        ----------
        status : int
            HTTP status.
        headers : HTTPHeaders
            Headers of the answer.
        chunk : bytes, optional
            First part of the body.

        Raises
        ------
        CallerGone
            If the caller closed its connection.
        """
        self._is_started = True
        line = ResponseStartLine("", status, responses.get(status, "Unknown"))
        try:
            await self._connection.write_headers(line, headers, chunk)
        except StreamClosedError as error:
            raise CallerGone from error

    async def write(self, chunk):
        """Write a part of the body and wait until the socket has accepted it.

        Parameters
        ----------
        chunk : bytes
            Part of the body.

        Raises
        ------
        CallerGone
            If the caller closed its connection.
        """
        try:
            await self._connection.write(chunk)
        except StreamClosedError as error:
            raise CallerGone from error

    def finish(self):
        """Finish the answer after its last part."""
        self._connection.finish()

    def abort(self):
        """Close the connection, so that a partial answer can't pass for a whole one."""
        self._connection.close()

    async def refuse(self, refusal):
        """Write a refusal as the answer.

        Parameters
        ----------
        refusal : Refusal
            Refusal to send.
        """
        headers = make_refusal_headers(refusal)
        await self._write_body(refusal.status, headers, make_refusal_body(refusal))

    async def write_whole(self, status, headers, text):
        """Write a whole answer that this node produces itself.

        Parameters
        ----------
        status : int
            HTTP status.
        headers : dict of str to str
            Headers without Content-Length.
        text : str
            Body.
        """
        await self._write_body(status, HTTPHeaders(headers), text.encode())

    async def _write_body(self, status, headers, body):
        headers["Content-Length"] = str(len(body))
        await self.start(status, headers, b"" if self._is_head else body)
        self.finish()


def make_refusal_headers(refusal):
    """Return the headers of a refusal, without Content-Length.

    Parameters
    ----------
    refusal : Refusal
        Refusal to send.

    Returns
    -------
    HTTPHeaders
        The headers.
    """
    headers = HTTPHeaders()
    headers[names.OUTCOME] = refusal.outcome.value
    headers[names.REASON] = refusal.reason.value
    headers[names.ATTEMPT] = str(refusal.attempts)
    headers["Content-Type"] = "text/plain"
    if refusal.retry_after_ms:
        headers[names.RETRY_AFTER_MS] = str(refusal.retry_after_ms)
        headers["Retry-After"] = str(math.ceil(refusal.retry_after_ms / MS_PER_S))
    return headers


def make_refusal_body(refusal):
    """Return the body of a refusal."""
    return f"{refusal.outcome.value}: {refusal.reason.value}\n".encode()


def strip_headers(headers, also=()):
    """Remove the hop-by-hop headers of a message.

    Parameters
    ----------
    headers : HTTPHeaders
        Headers that arrived; changed in place.
    also : collection of str, optional
        Further names to remove, capitalised like ``Content-Type``.
    """
    listed = headers.get("Connection")
    if listed is not None:
        for name in listed.split(","):
            if name.strip().lower() not in NEVER_HOP_BY_HOP:
                headers.pop(name.strip(), None)
    for name in list(headers):
        if name in HOP_BY_HOP or name in also:
            del headers[name]


def mark_done(headers, version, free_slots=None):
    """Mark a target's answer as the result of a call, in its headers.

    Parameters
    ----------
    headers : HTTPHeaders
        Headers of the answer; changed in place.
    version : int
        Catalogue version in force.
    free_slots : int, optional
        Free slots of the target, reported to the node that forwarded the call.
    """
    headers[names.OUTCOME] = Outcome.DONE.value
    headers[names.VERSION] = str(version)
    for name in REFUSAL_HEADERS:
        if name in headers:
            del headers[name]
    if free_slots is not None:
        headers[names.FREE_SLOTS] = str(free_slots)
