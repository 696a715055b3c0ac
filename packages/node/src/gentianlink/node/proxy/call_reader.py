"""Read one request of a caller: buffer a small body, stream a large one."""

import asyncio

from tornado.httputil import HTTPMessageDelegate

from gentianlink.core import headers as names
from gentianlink.core.reason import Reason
from gentianlink.node.clock import get_monotonic_ms
from gentianlink.node.proxy.answer_relay import read_number
from gentianlink.node.proxy.answer_writer import strip_headers
from gentianlink.node.proxy.call import Call
from gentianlink.node.proxy.call_parser import parse_attempt, parse_caller
from gentianlink.node.proxy.errors import BodyIncomplete
from gentianlink.node.proxy.refusal import Refusal
from gentianlink.node.proxy.request_body import RequestBody

BUFFER_BYTES = 64 * 1024
HEADERS_NOT_FORWARDED = frozenset(
    (
        names.OUTCOME,
        names.REASON,
        names.RETRY_AFTER_MS,
        names.FREE_SLOTS,
        names.VERSION,
        "Expect",
    )
)
# A refused caller reads the answer after it has sent the body; a larger rest is not
# worth reading for that.
MAX_DISCARDED_BYTES = 1 << 20
MAX_DISCARD_S = 1.0
METHODS_WITH_CHUNKED_BODY = ("POST", "PUT", "PATCH")


class CallReader(HTTPMessageDelegate):
    """Reads one request and has the server handle it in a separate task.

    Parameters
    ----------
    server : CallServer
        Checks and handles the request.
    connection : CallConnection
        Connection of the caller.
    remote_address : str
        IP address of the caller.
    """

    def __init__(self, server, connection, remote_address):
        self._server = server
        self._remote_address = remote_address
        self._chunks = []
        self._stream = None
        self._task = None
        self._started_ms = 0.0
        self._received_bytes = 0
        self._buffer_bytes = BUFFER_BYTES
        self._max_bytes = BUFFER_BYTES
        self._must_buffer = False
        self._budget_bytes = 0
        self._is_finished = False
        self._ended = asyncio.Event()
        self.connection = connection
        self.start_line = None
        self.headers = None
        self.refusal = None
        self.work_class = None

    @property
    def path(self):
        """Path without the query."""
        return self.start_line.path.partition("?")[0]

    @property
    def body_bytes(self):
        """Size of the body: declared or received so far, whichever is larger."""
        declared = read_number(self.headers, "Content-Length") or 0
        return max(declared, self._received_bytes)

    def headers_received(self, start_line, headers):
        """Check the headers; refuse a large or ``Expect`` body before it is read."""
        self.start_line = start_line
        self.headers = headers
        self._started_ms = get_monotonic_ms()
        self._server.begin_arrival(self)
        if "Content-Length" not in headers and "Transfer-Encoding" not in headers:
            return None
        refusal = self._server.check(self)
        is_large = self.body_bytes > BUFFER_BYTES
        if refusal is not None and (is_large or "Expect" in headers):
            self.refusal = refusal
            self._start()
        # Tornado reads the body only after this task has ended.
        return self._task if "Expect" in headers else None

    def set_body_limits(self, max_bytes, buffer_bytes=BUFFER_BYTES, must_buffer=False):
        """Set how much of the body is accepted, and how much of it is buffered.

        Parameters
        ----------
        max_bytes : int
            Largest body in bytes.
        buffer_bytes : int, optional
            Largest body in bytes that is read whole before the call is handled.
        must_buffer : bool, optional
            Whether it is buffered even if the server's budget is in use.
        """
        self._max_bytes = max_bytes
        self._buffer_bytes = buffer_bytes
        self._must_buffer = must_buffer

    def data_received(self, chunk):
        """Buffer or stream a part of the body; wait while the stream is full."""
        self._received_bytes += len(chunk)
        if self._stream is not None:
            return self._put(chunk)
        if self._task is not None:
            return None
        self._chunks.append(chunk)
        if self._received_bytes > self._max_bytes:
            self._chunks.clear()
            self.refusal = Refusal(Reason.BODY_TOO_LARGE)
            self._start()
        elif not self._may_buffer(len(chunk)):
            self._start_stream()
        return None

    def _may_buffer(self, size):
        if self._received_bytes <= BUFFER_BYTES:
            return True
        if self._received_bytes > self._buffer_bytes:
            return False
        if self._must_buffer:
            return True
        if not self._server.body_budget.try_take(size):
            return False
        self._budget_bytes += size
        return True

    def _put(self, chunk):
        if self._received_bytes <= self._max_bytes:
            return self._stream.put(chunk)
        self.refusal = Refusal(Reason.BODY_TOO_LARGE)
        self._stream.fail()
        return None

    def _start_stream(self):
        is_sized = "Content-Length" in self.headers
        if is_sized or self.start_line.method in METHODS_WITH_CHUNKED_BODY:
            self._stream = RequestBody(b"".join(self._chunks))
        else:
            self.refusal = Refusal(Reason.BAD_REQUEST)
        self._chunks.clear()
        self._start()

    def finish(self):
        """End a streamed body; handle the call unless that has begun."""
        self._is_finished = True
        self._ended.set()
        if self._stream is not None:
            self._stream.end()
        if self._task is None:
            self._start()
        self.connection.set_close_callback(self.on_connection_close)

    async def discard_body(self):
        """Read the rest of the body without keeping it, if it is short enough.

        A connection that is closed with unread bytes is reset, so that its caller
        would not see the answer.
        """
        if self._stream is not None:
            self._stream.discard()
        if self._is_finished or "Expect" in self.headers:
            return
        if self.body_bytes - self._received_bytes > MAX_DISCARDED_BYTES:
            return
        try:
            async with asyncio.timeout(MAX_DISCARD_S):
                await self._ended.wait()
        except TimeoutError:
            return

    def release_body(self):
        """Return the buffered bytes to the server's budget."""
        self._server.body_budget.give_back(self._budget_bytes)
        self._budget_bytes = 0

    def _take_body(self):
        """Return the whole body; empty if the rest of it is streamed.

        Raises
        ------
        BodyIncomplete
            If a part of the body is missing that no stream will deliver.
        """
        if self._stream is None and not self._is_finished:
            raise BodyIncomplete(f"{self._received_bytes} bytes have arrived")
        body = b"".join(self._chunks)
        self._chunks.clear()
        return body

    def refuse(self, refusal):
        """Refuse the request before all of it has arrived.

        Parameters
        ----------
        refusal : Refusal
            Refusal to send.
        """
        self.refusal = refusal
        self._start()

    def _start(self):
        self._server.end_arrival(self)
        self._task = self._server.start_call(self)

    def on_connection_close(self):
        """Cancel the call after the caller closed its connection."""
        self._server.end_arrival(self)
        self._ended.set()
        if self._stream is not None:
            self._stream.fail()
        if self._task is not None:
            self._task.cancel()
        # A task that is cancelled before its first step does not release the body.
        self.release_body()

    def make_call(self, remaining_ms):
        """Return the call that was read, with the headers to forward.

        Headers that belong only in answers are removed.

        Parameters
        ----------
        remaining_ms : float
            Time in milliseconds that the caller allows, from the arrival of the
            headers.

        Returns
        -------
        Call
            The call.
        """
        headers = self.headers
        body = self._take_body()
        caller = parse_caller(headers, self._remote_address)
        attempt = parse_attempt(headers)
        strip_headers(headers, HEADERS_NOT_FORWARDED)
        headers[names.CALLER] = caller
        if body:
            headers["Content-Length"] = str(len(body))
        return Call(
            method=self.start_line.method,
            target=self.start_line.path,
            headers=headers,
            body=body,
            deadline_ms=self._started_ms + remaining_ms,
            key=headers.get(names.IDEMPOTENCY_KEY, ""),
            attempt=attempt,
            caller=caller,
            stream=self._stream,
        )
