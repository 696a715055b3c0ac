"""Connection of a caller on which several requests may wait for their answers."""

import select

from tornado.httputil import HTTPInputError
from tornado.iostream import UnsatisfiableReadError

from gentianlink.node.proxy.call_stream import (
    STATUS_HEADERS_TOO_LARGE,
    TORNADO_BAD_REQUEST,
    CallStream,
)

STATUS_BAD_REQUEST = 400
# A caller that takes no byte of its answers for this long is disconnected; targets
# that send nothing are given up after the same time.
MAX_STALLED_MS = 30_000


class PipelinedStream(CallStream):
    """Connection whose malformed requests are refused after the earlier answers."""

    def __init__(self, connection, **options):
        super().__init__(connection, **options)
        self._poll = select.poll()
        self._poll.register(connection, select.POLLRDHUP)
        self._refuse = None
        self._refusal_status = STATUS_BAD_REQUEST
        self._written_index = 0
        self._stalled_since_ms = None

    @property
    def has_caller_left(self):
        """Whether the other end has closed the connection, also behind unread bytes.

        Not to be asked while a request is being read: the rest of it may be unread.
        """
        return self.closed() or bool(self._poll.poll(0))

    def set_refuse_callback(self, refuse):
        """Set the coroutine function that refuses a malformed request by its status."""
        self._refuse = refuse

    def write(self, data):
        """Write bytes; in place of tornado's bare status line, refuse the request."""
        if data == TORNADO_BAD_REQUEST and self._refuse is not None:
            refuse, self._refuse = self._refuse, None
            return refuse(self._refusal_status)
        return super().write(data)

    def close(self, exc_info=False):
        """Close the connection, unless headers that are too large can be refused."""
        is_too_large = isinstance(exc_info, UnsatisfiableReadError)
        if is_too_large and self._read_future is not None:
            # The reader of the message takes this for a malformed request.
            self._refusal_status = STATUS_HEADERS_TOO_LARGE
            future, self._read_future = self._read_future, None
            self._read_regex = self._read_max_bytes = None
            future.set_exception(HTTPInputError("headers too large"))
            return
        super().close(exc_info)

    def is_stalled(self, now_ms):
        """Return whether the caller has not taken any byte of its answers for long.

        Parameters
        ----------
        now_ms : float
            Present time on the monotonic clock in milliseconds.

        Returns
        -------
        bool
            True after `MAX_STALLED_MS` without progress of a write.
        """
        index = self._total_write_done_index
        if not self.writing() or index != self._written_index:
            self._written_index = index
            self._stalled_since_ms = None
        if not self.writing():
            return False
        if self._stalled_since_ms is None:
            self._stalled_since_ms = now_ms
        return now_ms - self._stalled_since_ms >= MAX_STALLED_MS
