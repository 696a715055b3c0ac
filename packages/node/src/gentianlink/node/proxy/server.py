"""The HTTP server for calls, over tornado's connection layer."""

import asyncio

from tornado.http1connection import HTTP1ConnectionParameters
from tornado.iostream import StreamClosedError, UnsatisfiableReadError
from tornado.netutil import add_accept_handler, bind_sockets

from gentianlink.core import headers as names
from gentianlink.core.reason import Reason
from gentianlink.node.background import start_task
from gentianlink.node.clock import get_monotonic_ms
from gentianlink.node.log import get_logger
from gentianlink.node.proxy.answer_writer import AnswerWriter
from gentianlink.node.proxy.call_counts import CallCounts
from gentianlink.node.proxy.call_parser import (
    parse_deadline_ms,
    validate_key,
    validate_request,
)
from gentianlink.node.proxy.call_reader import CallReader
from gentianlink.node.proxy.call_stream import CallConnection, CallStream
from gentianlink.node.proxy.entry_limiter import EntryLimiter
from gentianlink.node.proxy.errors import CallerGone
from gentianlink.node.proxy.refusal import Refusal
from gentianlink.ops.build_table import get_route

_LOG = get_logger("proxy")

MAX_HEADER_BYTES = 32 * 1024
MAX_BODY_BYTES = 1 << 40
READ_CHUNK_BYTES = 1 << 16
MAX_BUFFER_BYTES = 1 << 20
MAX_IDLE_MS = 60_000
NOT_READY_RETRY_MS = 200


class CallServer:
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
        self._limiter = EntryLimiter()
        self._tasks = set()
        self._arriving = set()
        self._streams = {}
        self._counts = CallCounts()
        self._stop_accepting = []
        self._is_stopping = False
        self._parameters = HTTP1ConnectionParameters(
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=MAX_BODY_BYTES,
            chunk_size=READ_CHUNK_BYTES,
        )

    @property
    def in_flight(self):
        """Calls that are being handled."""
        return len(self._tasks)

    @property
    def outcomes(self):
        """Numbers of calls by outcome."""
        return self._counts.outcomes

    @property
    def counts(self):
        """Numbers of calls by class, outcome and reason."""
        return self._counts

    @property
    def connections(self):
        """Number of open connections of callers."""
        return len(self._streams)

    def listen(self, address, port):
        """Start to accept connections.

        Parameters
        ----------
        address : str
            IP number.
        port : int
            TCP port; 0 for any.

        Returns
        -------
        int
            The TCP port.
        """
        sockets = bind_sockets(port, address)
        for item in sockets:
            self._stop_accepting.append(add_accept_handler(item, self._accept))
            self._stop_accepting.append(item.close)
        return sockets[0].getsockname()[1]

    def _accept(self, connection, address):
        stream = CallStream(
            connection,
            max_buffer_size=MAX_BUFFER_BYTES,
            read_chunk_size=READ_CHUNK_BYTES,
        )
        start_task(self._serve_connection(stream, address[0]), "connection")

    async def _serve_connection(self, stream, remote_address):
        self._streams[stream] = get_monotonic_ms()
        try:
            while await self._serve_request(stream, remote_address):
                self._streams[stream] = get_monotonic_ms()
        except (StreamClosedError, UnsatisfiableReadError, ConnectionError):
            return
        finally:
            stream.close()
            del self._streams[stream]

    async def _serve_request(self, stream, remote_address):
        stream.begin_request()
        connection = CallConnection(stream, False, self._parameters)
        reader = CallReader(self, connection, remote_address)
        return await connection.read_response(reader)

    def sweep(self, now_ms):
        """Close connections on which no request was completed for too long.

        Parameters
        ----------
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        for stream, active_ms in list(self._streams.items()):
            if now_ms - active_ms >= MAX_IDLE_MS and not stream.is_answer_due:
                stream.close()

    def begin_arrival(self, reader):
        """Note that a call has begun to arrive."""
        self._arriving.add(reader)

    def end_arrival(self, reader):
        """Note that a call was handed on, or that its connection was lost."""
        self._arriving.discard(reader)

    def start_call(self, reader):
        """Handle a call in a task of its own.

        Parameters
        ----------
        reader : CallReader
            Reads the call.

        Returns
        -------
        asyncio.Task
            The task.
        """
        reader.connection.stream.is_answer_due = True
        task = start_task(self._handle(reader), "call")
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _handle(self, reader):
        writer = AnswerWriter(reader.connection, reader.start_line.method == "HEAD")
        try:
            refusal = await self._serve(reader, writer)
            await self._finish(reader, refusal, writer)
        except CallerGone:
            _LOG.debug("caller gone", path=reader.path)
        except asyncio.CancelledError:
            _LOG.debug("call cancelled", path=reader.path)
            raise
        except BaseException:
            writer.cut()
            raise
        finally:
            reader.connection.stream.is_answer_due = False

    async def _finish(self, reader, refusal, writer):
        self._counts.record_call(reader.work_class, refusal)
        if refusal is None:
            return
        _LOG.debug(
            "call refused",
            path=reader.path,
            why=refusal.reason.value,
            outcome=refusal.outcome.value,
        )
        if writer.is_started:
            writer.cut()
            return
        if self._is_stopping:
            reader.connection.close_after_answer()
        await writer.refuse(refusal)

    def check(self, reader):
        """Return why a call is refused before any work is done for it.

        Parameters
        ----------
        reader : CallReader
            Has read the headers of the call.

        Returns
        -------
        Refusal or None
            None if the call may go on.
        """
        refusal = validate_request(reader.start_line, reader.headers)
        if refusal is not None:
            return refusal
        if not self._is_ready():
            return Refusal(Reason.NOT_READY, retry_after_ms=NOT_READY_RETRY_MS)
        route = get_route(self._get_table(), reader.path)
        if route is None:
            return Refusal(Reason.NO_ROUTE)
        entry = route.entry
        reader.work_class = entry.work_class
        max_bytes = entry.limits.body_max_bytes
        reader.set_body_limits(not entry.work_class.is_repeatable, max_bytes)
        if reader.body_bytes > max_bytes:
            return Refusal(Reason.BODY_TOO_LARGE)
        if parse_deadline_ms(reader.headers, entry.limits.deadline_ms) is None:
            return Refusal(Reason.BAD_DEADLINE)
        key = reader.headers.get(names.IDEMPOTENCY_KEY, "")
        return validate_key(key, entry.work_class)

    async def _serve(self, reader, writer):
        refusal = reader.refusal or self.check(reader)
        if refusal is not None:
            return refusal
        table = self._get_table()
        route = get_route(table, reader.path)
        remaining_ms = parse_deadline_ms(reader.headers, route.entry.limits.deadline_ms)
        call = reader.make_call(remaining_ms)
        target_id = reader.headers.get(names.TARGET)
        if target_id is not None:
            return await self._dispatcher.dispatch(
                call, route.entry, target_id, writer, table.version
            )
        refusal = self._limiter.enter(route.entry, call.caller, get_monotonic_ms())
        if refusal is not None:
            return refusal
        try:
            return await self._router.route(call, route, writer, table.version)
        finally:
            self._limiter.leave(route.entry, call.caller)

    def stop_listening(self):
        """Accept no further connections."""
        self._is_stopping = True
        for stop in self._stop_accepting:
            stop()
        self._stop_accepting.clear()

    def refuse_arriving(self):
        """Refuse the calls whose bodies are still arriving."""
        for reader in list(self._arriving):
            reader.refuse(Refusal(Reason.NOT_READY, retry_after_ms=NOT_READY_RETRY_MS))

    async def wait_idle(self):
        """Wait until no call is in flight."""
        while self._tasks:
            await asyncio.wait(set(self._tasks))

    def close(self):
        """Close all connections of callers."""
        for stream in list(self._streams):
            stream.close()
