"""One request and its answer on a connection with several requests in progress."""

from tornado.concurrent import future_set_result_unless_cancelled

from gentianlink.node.proxy.call_stream import CallConnection


class PipelinedMessage(CallConnection):
    """Reads one request and writes its answer, while others do so on the connection.

    Parameters
    ----------
    stream : PipelinedStream
        Connection of the caller.
    parameters : HTTP1ConnectionParameters
        Limits of the message.
    pipeline : Pipeline
        Requests of the connection.
    on_answered : callable
        Called without arguments when the whole answer was sent.
    """

    _write_callback = None
    _write_future = None
    _close_callback = None

    def __init__(self, stream, parameters, pipeline, on_answered):
        super().__init__(stream, False, parameters)
        self._on_answered = on_answered
        self.pipeline = pipeline
        self.request = None
        self.head_bytes = 0

    @property
    def closes_after_answer(self):
        """Whether the connection is closed once the answer is sent."""
        return self._disconnect_on_finish

    @property
    def is_answer_begun(self):
        """Whether a part of the answer was written."""
        return self._response_start_line is not None

    def end_reading(self):
        """End the reading of this message, so that the next request can be read.

        Without this tornado reads no further request before the answer is sent.
        """
        future_set_result_unless_cancelled(self._finish_future, None)

    def close_after_answer(self):
        """Close the connection after the answers to the requests that have started."""
        self.pipeline.end_after_started()

    def write_headers(self, start_line, headers, chunk=None):
        """Write the head of the answer, which says whether the connection ends."""
        if self.pipeline.is_last(self.request):
            self._disconnect_on_finish = True
        return super().write_headers(start_line, headers, chunk)

    def _parse_headers(self, data):
        self.head_bytes = len(data)
        return super()._parse_headers(data)

    def _finish_request(self, future):
        super()._finish_request(future)
        self.pipeline.remove(self.request)
        self._on_answered()

    def _clear_callbacks(self):
        # Tornado forgets a pending write here and removes the callback of the
        # stream, which other messages of the connection still need.
        self._close_callback = None
