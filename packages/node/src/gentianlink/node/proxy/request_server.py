"""Accept connections and read requests, over tornado's connection layer."""

import asyncio

from tornado.http1connection import HTTP1ConnectionParameters
from tornado.iostream import StreamClosedError, UnsatisfiableReadError
from tornado.netutil import add_accept_handler, bind_sockets

from gentianlink.core.reason import Reason
from gentianlink.node.background import start_task
from gentianlink.node.clock import get_monotonic_ms
from gentianlink.node.log import get_logger
from gentianlink.node.proxy.answer_writer import AnswerWriter
from gentianlink.node.proxy.buffer_budget import BufferBudget
from gentianlink.node.proxy.call_reader import CallReader
from gentianlink.node.proxy.call_stream import CallConnection, CallStream
from gentianlink.node.proxy.errors import CallerGone
from gentianlink.node.proxy.refusal import Refusal, is_not_run

_LOG = get_logger("proxy")

MAX_HEADER_BYTES = 32 * 1024
MAX_BODY_BYTES = 1 << 40
READ_CHUNK_BYTES = 1 << 16
MAX_BUFFER_BYTES = 1 << 20
# Bodies above `call_reader.BUFFER_BYTES` that are buffered whole at the same time.
BODY_BUDGET_BYTES = 8 << 20
MAX_IDLE_MS = 60_000
NOT_READY_RETRY_MS = 200


class RequestServer:
    """Accepts connections and reads the requests on them.

    A subclass serves each request (``serve``), and may refuse one before its body has
    arrived (``check``).
    """

    reader_type = CallReader
    stream_type = CallStream
    writer_type = AnswerWriter

    def __init__(self):
        self._tasks = set()
        self._arriving = set()
        self._streams = {}
        self._stop_callbacks = []
        self._is_stopping = False
        self.body_budget = BufferBudget(BODY_BUDGET_BYTES)
        self.parameters = HTTP1ConnectionParameters(
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=MAX_BODY_BYTES,
            chunk_size=READ_CHUNK_BYTES,
        )

    @property
    def in_flight(self):
        """Number of calls being handled."""
        return len(self._tasks)

    @property
    def connections(self):
        """Number of open connections of callers."""
        return len(self._streams)

    def listen(self, address, port):
        """Start accepting connections.

        Parameters
        ----------
        address : str
            IP address.
        port : int
            TCP port; 0 for any free one.

        Returns
        -------
        int
            TCP port that is bound.
        """
        sockets = bind_sockets(port, address)
        for item in sockets:
            self.accept_from(item)
        return sockets[0].getsockname()[1]

    def accept_from(self, listener):
        """Start accepting connections from a listening socket.

        Parameters
        ----------
        listener : socket.socket
            Non-blocking listening socket.
        """
        self._stop_callbacks.append(add_accept_handler(listener, self._accept))
        self._stop_callbacks.append(listener.close)

    def _accept(self, connection, address):
        stream = self.stream_type(
            connection,
            max_buffer_size=MAX_BUFFER_BYTES,
            read_chunk_size=READ_CHUNK_BYTES,
        )
        start_task(self._serve_connection(stream, address[0]), "connection")

    async def _serve_connection(self, stream, remote_address):
        self._streams[stream] = get_monotonic_ms()
        try:
            await self.serve_stream(stream, remote_address)
        except (StreamClosedError, UnsatisfiableReadError, ConnectionError):
            return
        finally:
            stream.close()
            del self._streams[stream]

    async def serve_stream(self, stream, remote_address):
        """Serve the requests of one connection, one at a time.

        Parameters
        ----------
        stream : CallStream
            Connection of the caller; closed after the return.
        remote_address : str
            IP address of the caller.
        """
        while await self._serve_request(stream, remote_address):
            self.note_active(stream)

    async def _serve_request(self, stream, remote_address):
        stream.begin_request()
        connection = CallConnection(stream, False, self.parameters)
        reader = self.reader_type(self, connection, remote_address)
        return await connection.read_response(reader)

    def note_active(self, stream):
        """Record that a request of a connection was completed."""
        if stream in self._streams:
            self._streams[stream] = get_monotonic_ms()

    def sweep(self, now_ms):
        """Close connections that completed no request within ``MAX_IDLE_MS``.

        Parameters
        ----------
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        for stream, active_ms in list(self._streams.items()):
            if now_ms - active_ms >= MAX_IDLE_MS and not stream.is_answer_due:
                stream.close()

    def begin_arrival(self, reader):
        """Register a call whose headers have arrived."""
        self._arriving.add(reader)

    def end_arrival(self, reader):
        """Unregister a call that is being handled or has lost its connection."""
        self._arriving.discard(reader)

    def start_call(self, reader):
        """Handle a call in a separate task.

        Parameters
        ----------
        reader : CallReader
            Reader of the call.

        Returns
        -------
        asyncio.Task
            The task.
        """
        reader.connection.stream.answers_due += 1
        task = start_task(self._handle(reader), "call")
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _handle(self, reader):
        writer = self.writer_type(reader.connection, reader.start_line.method == "HEAD")
        try:
            refusal = reader.refusal
            if refusal is None:
                refusal = await self.serve(reader, writer)
                if is_not_run(refusal) and reader.refusal is not None:
                    # The body turned out to be too large while it was streamed.
                    refusal = reader.refusal
            else:
                self.note_early_refusal(reader, refusal)
            await self._finish(reader, refusal, writer)
        except CallerGone:
            self.note_caller_gone(reader)
        except asyncio.CancelledError:
            _LOG.debug("call cancelled", path=reader.path)
            raise
        except BaseException:
            writer.abort()
            raise
        finally:
            reader.connection.stream.answers_due -= 1
            reader.release_body()

    async def _finish(self, reader, refusal, writer):
        self.count(reader, refusal)
        if refusal is None:
            return
        if writer.is_started:
            writer.abort()
            return
        await reader.discard_body()
        if self._is_stopping:
            reader.connection.close_after_answer()
        await self.write_refusal(reader, writer, refusal)

    def note_early_refusal(self, reader, refusal):
        """Take note of a call that is refused while its body arrives."""

    def note_caller_gone(self, reader):
        """Log that the caller of a request has closed its connection."""
        _LOG.debug("caller closed its connection", path=reader.path)

    def count(self, reader, refusal):
        """Count a finished call; the base class counts nothing."""

    async def write_refusal(self, reader, writer, refusal):
        """Write a refusal as the answer of a call."""
        await writer.refuse(refusal)

    def check(self, reader):
        """Return why a call is refused before its body is read, or None."""
        return None

    async def serve(self, reader, writer):
        """Serve one call.

        Parameters
        ----------
        reader : CallReader
            Has read the call, or the beginning of a large one.
        writer : AnswerWriter
            Writes the answer.

        Returns
        -------
        Refusal or None
            None if a whole answer was written.
        """
        raise NotImplementedError

    def stop_listening(self):
        """Stop accepting connections."""
        self._is_stopping = True
        for stop in self._stop_callbacks:
            stop()
        self._stop_callbacks.clear()

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
