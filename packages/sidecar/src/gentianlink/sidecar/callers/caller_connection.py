"""Serve the requests of one caller's connection, pipelined ones concurrently."""

import asyncio

from tornado.iostream import StreamClosedError

from gentianlink.core.reason import Reason
from gentianlink.node.log import get_logger
from gentianlink.node.proxy.call_stream import make_raw_refusal
from gentianlink.node.proxy.refusal import Refusal
from gentianlink.sidecar.callers.pipeline import Hold, Pipeline
from gentianlink.sidecar.callers.pipelined_message import PipelinedMessage

_LOG = get_logger("calls")

# While a request is held back nothing is read, so the end of the connection is looked
# for at this interval. A caller that leaves must be noticed within half a second.
CHECK_S = 0.1


class CallerConnection:
    """Reads the requests of one connection, and holds back those that must wait.

    Parameters
    ----------
    server : CallerServer
        Serves the requests.
    stream : PipelinedStream
        Connection of the caller; closed by the server after `run`.
    remote_address : str
        IP address of the caller.
    budget : BufferBudget
        Bytes of the pipelined requests and answers of all connections.
    metrics : CallMetrics
        Counts pipelined requests and pauses.
    """

    def __init__(self, server, stream, remote_address, budget, metrics):
        self._server = server
        self._stream = stream
        self._remote_address = remote_address
        self._metrics = metrics
        self._reader = None
        self._change = asyncio.Event()
        self.pipeline = Pipeline(budget)
        stream.set_refuse_callback(self._refuse_malformed)

    async def run(self):
        """Serve requests until the connection ends.

        Raises
        ------
        StreamClosedError
            If the caller closed the connection.
        """
        try:
            while not self.pipeline.is_ended and await self._read_request():
                continue
            await self._wait_until(lambda: self.pipeline.is_empty)
        finally:
            self._cancel()

    async def _read_request(self):
        message = PipelinedMessage(
            self._stream, self._server.parameters, self.pipeline, self._note_answered
        )
        reader = self._server.reader_type(
            self._server, message, self._remote_address, self
        )
        self._reader = reader
        return await message.read_response(reader)

    def _note_answered(self):
        self._server.note_active(self._stream)
        self._change.set()

    def try_start(self, request):
        """Start a request if it may start, and count it if it is pipelined.

        Parameters
        ----------
        request : PipelinedRequest
            The request.

        Returns
        -------
        Hold or None
            Why it must wait; None if it has started.
        """
        if self.pipeline.is_empty:
            return self.pipeline.try_start(request)
        hold = self.pipeline.try_start(request)
        run = "concurrently" if hold is None else "later"
        self._metrics.count("pipelined_requests_total", run=run)
        return hold

    async def wait_start(self, request, hold):
        """Read nothing until a request that was held back may start.

        Parameters
        ----------
        request : PipelinedRequest
            The request.
        hold : Hold
            Why it must wait.

        Returns
        -------
        bool
            Whether it has started. It has not if the connection ends before.
        """
        if hold is not Hold.ORDER:
            self._metrics.count("reading_pauses_total", bound=hold.value)
            _LOG.info(
                "reading from a caller paused",
                why=hold.value,
                caller=self._remote_address,
                in_progress=len(self.pipeline.requests),
                held_bytes=self.pipeline.held_bytes,
            )
        await self._wait_until(
            lambda: self.pipeline.is_ended or self.pipeline.try_start(request) is None
        )
        return self.pipeline.has_started(request)

    async def _wait_until(self, is_over):
        """Wait for a condition and return True; False once the connection has ended."""
        while not is_over():
            if self._stream.has_caller_left:
                self._stream.close()
                return False
            self._change.clear()
            try:
                async with asyncio.timeout(CHECK_S):
                    await self._change.wait()
            except TimeoutError:
                continue
        return True

    async def _refuse_malformed(self, status):
        """Refuse the request that is being read after the answers to those before."""
        _LOG.info("malformed request refused", caller=self._remote_address)
        request = self._reader.request
        if request is not None:
            self._reader.on_connection_close()
            if self._reader.connection.is_answer_begun:
                raise StreamClosedError
            self.pipeline.remove(request)
        self.pipeline.end_with_refusal()
        if await self._wait_until(lambda: self.pipeline.is_empty):
            await self._stream.write(
                make_raw_refusal(status, Refusal(Reason.BAD_REQUEST))
            )

    def _cancel(self):
        requests = self.pipeline.requests
        if not requests:
            return
        _LOG.info(
            "connection ended before its answers",
            caller=self._remote_address,
            cancelled=len(requests),
        )
        for request in requests:
            request.reader.on_connection_close()
            self.pipeline.remove(request)
