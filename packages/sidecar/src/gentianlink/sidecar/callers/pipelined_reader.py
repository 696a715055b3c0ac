"""Read one request of a connection on which others may be in progress."""

from gentianlink.node.clock import get_monotonic_ms
from gentianlink.node.proxy.answer_relay import read_number
from gentianlink.node.proxy.call_reader import BUFFER_BYTES
from gentianlink.sidecar.call_reader import SidecarCallReader
from gentianlink.sidecar.callers.pipeline import PipelinedRequest


class PipelinedReader(SidecarCallReader):
    """Reads one request, once the requests before it allow it to start.

    Parameters
    ----------
    server : CallerServer
        Finds the rule of the request and handles it.
    connection : PipelinedMessage
        The request on its connection.
    remote_address : str
        IP address of the caller.
    caller_connection : CallerConnection
        Decides when the request may start.
    """

    def __init__(self, server, connection, remote_address, caller_connection):
        super().__init__(server, connection, remote_address)
        self._caller_connection = caller_connection
        self.request = None
        # The rules by which the request was held back or not, and its rule.
        self.rules = None
        self.rule = None

    def headers_received(self, start_line, headers):
        """Start the request, or hold it back with all that follows it."""
        arrived_ms = get_monotonic_ms()
        self.start_line = start_line
        self.headers = headers
        self.rules, self.rule = self._server.find_rule(self)
        request = make_request(self.rule, headers, self.connection.head_bytes)
        request.reader = self
        if self._caller_connection.pipeline.is_ended:
            return None
        hold = self._caller_connection.try_start(request)
        if hold is None:
            return self._begin(request, arrived_ms)
        return self._begin_later(request, hold, arrived_ms)

    async def _begin_later(self, request, hold, arrived_ms):
        if not await self._caller_connection.wait_start(request, hold):
            return
        waiting = self._begin(request, arrived_ms)
        if waiting is not None:
            await waiting

    def _begin(self, request, arrived_ms):
        self.request = self.connection.request = request
        if self.connection.closes_after_answer or self._server.is_closing:
            self.connection.close_after_answer()
        waiting = super().headers_received(self.start_line, self.headers)
        # The caller's time runs from the arrival, also while a request is held back.
        self._started_ms = arrived_ms
        return waiting

    def data_received(self, chunk):
        """Take a part of the body, unless the request will not start any more."""
        return None if self.request is None else super().data_received(chunk)

    def finish(self):
        """Handle the request and let the next one be read."""
        self.connection.end_reading()
        if self.request is not None:
            super().finish()


def make_request(rule, headers, head_bytes):
    """Return how a request behaves towards the others of its connection.

    Parameters
    ----------
    rule : Rule or None
        Rule of the request; None if there is none.
    headers : HTTPHeaders
        Headers of the request.
    head_bytes : int
        Bytes of the request line and the headers.

    Returns
    -------
    PipelinedRequest
        A request whose body may be streamed starts alone, as it may be answered before
        it has arrived; so does one that waits for an interim answer.
    """
    is_repeatable = rule is not None and rule.is_repeatable
    body_bytes = 0
    if "Content-Length" in headers:
        body_bytes = read_number(headers, "Content-Length")
    is_alone = (
        not is_repeatable
        or body_bytes is None
        or body_bytes > BUFFER_BYTES
        or "Transfer-Encoding" in headers
        or "Expect" in headers
    )
    size = head_bytes + (body_bytes or 0)
    return PipelinedRequest(is_alone, not is_repeatable, size)
