"""The HTTP server for calls, over tornado's connection layer."""

import asyncio

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPMessageDelegate, HTTPServerConnectionDelegate
from tornado.netutil import bind_sockets

from gentianlink.core import headers as names
from gentianlink.core.outcome import Outcome
from gentianlink.core.reason import Reason
from gentianlink.node.background import start_task
from gentianlink.node.clock import get_monotonic_ms
from gentianlink.node.log import get_logger
from gentianlink.node.proxy.answer_writer import AnswerWriter
from gentianlink.node.proxy.call import Call
from gentianlink.node.proxy.call_parser import parse_deadline_ms, validate_key
from gentianlink.node.proxy.errors import CallerGone
from gentianlink.node.proxy.refusal import Refusal
from gentianlink.ops.build_table import get_route

_LOG = get_logger("proxy")

MAX_HEADER_BYTES = 32 * 1024
MAX_BODY_BYTES = 1 << 30
HEADER_TIMEOUT_S = 10.0


class CallServer(HTTPServerConnectionDelegate):
    """Accepts calls and hands each to the router.

    Parameters
    ----------
    router : Router
        Routes calls.
    dispatcher : Dispatcher
        Runs calls that another node has routed here.
    get_table : callable
        Returns the current routing table.
    is_ready : callable
        Returns whether this node may serve.
    """

    def __init__(self, router, dispatcher, get_table, is_ready):
        self._router = router
        self._dispatcher = dispatcher
        self._get_table = get_table
        self._is_ready = is_ready
        self._tasks = set()
        self._outcomes = dict.fromkeys(Outcome, 0)
        self._server = None

    @property
    def in_flight(self):
        """Calls that are being handled."""
        return len(self._tasks)

    @property
    def outcomes(self):
        """Numbers of calls by outcome."""
        return dict(self._outcomes)

    def listen(self, address, port):
        """Start to accept connections."""
        self._server = HTTPServer(
            self,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=MAX_BODY_BYTES,
            idle_connection_timeout=HEADER_TIMEOUT_S * 6,
        )
        self._server.add_sockets(bind_sockets(port, address))

    def start_request(self, server_conn, request_conn):
        """Return the reader of one call."""
        return _CallReader(self, request_conn)

    def start_call(self, reader):
        """Handle a call that was read whole, in a task of its own."""
        task = start_task(self._handle(reader), "call")
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _handle(self, reader):
        writer = AnswerWriter(reader.connection)
        try:
            refusal = await self._serve(reader, writer)
            await self._finish(refusal, writer)
        except CallerGone:
            _LOG.debug("caller gone", path=reader.start_line.path)

    async def _finish(self, refusal, writer):
        if refusal is None:
            self._outcomes[Outcome.DONE] += 1
            return
        self._outcomes[refusal.outcome] += 1
        if writer.is_started:
            writer.cut()
            return
        await writer.refuse(refusal)

    async def _serve(self, reader, writer):
        if not self._is_ready():
            return Refusal(Reason.NOT_READY, retry_after_ms=200)
        table = self._get_table()
        route = get_route(table, reader.start_line.path.partition("?")[0])
        if route is None:
            return Refusal(Reason.NO_ROUTE)
        limits = route.entry.limits
        if reader.body_size > limits.body_max_bytes:
            return Refusal(Reason.BODY_TOO_LARGE)
        remaining_ms = parse_deadline_ms(reader.headers, limits.deadline_ms)
        if remaining_ms is None:
            return Refusal(Reason.BAD_DEADLINE)
        call = reader.make_call(remaining_ms)
        refusal = validate_key(call.key, route.entry.work_class)
        if refusal is not None:
            return refusal
        target_id = reader.headers.get(names.TARGET)
        if target_id is not None:
            return await self._dispatcher.dispatch(
                call, route.entry, target_id, writer, table.version
            )
        return await self._router.route(call, route, writer, table.version)

    def stop_listening(self):
        """Accept no further connections."""
        if self._server is not None:
            self._server.stop()

    async def wait_idle(self):
        """Wait until no call is in flight."""
        while self._tasks:
            await asyncio.wait(set(self._tasks))


class _CallReader(HTTPMessageDelegate):
    """Reads one call; a task of its own then answers it."""

    def __init__(self, server, connection):
        self._server = server
        self._chunks = []
        self._task = None
        self._started_ms = 0.0
        self.connection = connection
        self.start_line = None
        self.headers = None
        self.body_size = 0

    def headers_received(self, start_line, headers):
        self.start_line = start_line
        self.headers = headers
        self._started_ms = get_monotonic_ms()

    def data_received(self, chunk):
        self.body_size += len(chunk)
        self._chunks.append(chunk)

    def finish(self):
        self._task = self._server.start_call(self)
        self.connection.set_close_callback(self.on_connection_close)

    def on_connection_close(self):
        if self._task is not None:
            self._task.cancel()

    def make_call(self, remaining_ms):
        """Return the call that was read."""
        return Call(
            method=self.start_line.method,
            target=self.start_line.path,
            headers=self.headers,
            body=b"".join(self._chunks),
            deadline_ms=self._started_ms + remaining_ms,
            key=self.headers.get(names.IDEMPOTENCY_KEY, ""),
        )
