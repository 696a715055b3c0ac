"""Connection of a caller, with typed refusals of requests that can't be parsed."""

import socket

from tornado.iostream import StreamClosedError, UnsatisfiableReadError

from gentianlink.core.reason import Reason
from gentianlink.node.log import get_logger
from gentianlink.node.proxy.answer_writer import make_refusal_body, make_refusal_headers
from gentianlink.node.proxy.header_parser import MessageConnection
from gentianlink.node.proxy.message_stream import MessageStream
from gentianlink.node.proxy.refusal import Refusal

_LOG = get_logger("proxy")

STATUS_HEADERS_TOO_LARGE = 431
TORNADO_BAD_REQUEST = b"HTTP/1.1 400 Bad Request\r\n\r\n"


def make_raw_refusal(status, refusal):
    """Return the bytes of a refusal after which the connection is closed.

    Parameters
    ----------
    status : int
        HTTP status.
    refusal : Refusal
        Refusal to send.

    Returns
    -------
    bytes
        Status line, headers and body.
    """
    body = make_refusal_body(refusal)
    headers = make_refusal_headers(refusal)
    headers["Content-Length"] = str(len(body))
    headers["Connection"] = "close"
    lines = [f"HTTP/1.1 {status} Refused"]
    lines += [f"{name}: {value}" for name, value in headers.get_all()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class CallStream(MessageStream):
    """Connection of a caller.

    Tornado answers a malformed request with a bare status line, and closes the
    connection without an answer if the headers are too large. This class sends a
    typed refusal in both cases, unless an answer has begun.
    """

    def __init__(self, connection, **options):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().__init__(connection, **options)
        self._has_answer_begun = False
        self.answers_due = 0

    @property
    def is_answer_due(self):
        """Whether a request is being handled."""
        return self.answers_due > 0

    @property
    def is_closed_by_peer(self):
        """Whether the other end has closed the connection and sent nothing more."""
        if self.closed():
            return True
        try:
            return not self.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def set_nodelay(self, value):
        """Ignore the value: ``TCP_NODELAY`` stays set on this connection."""

    def begin_request(self):
        """Expect a new request: no part of its answer has been written."""
        self._has_answer_begun = False

    def write(self, data):
        """Write bytes, with a typed refusal in place of tornado's bare status line."""
        if data == TORNADO_BAD_REQUEST:
            _LOG.info("malformed request refused")
            if self._has_answer_begun:
                self.close()
                raise StreamClosedError
            data = make_raw_refusal(400, Refusal(Reason.BAD_REQUEST))
        elif not data.startswith(b"HTTP/1.1 100"):
            self._has_answer_begun = True
        return super().write(data)

    def close(self, exc_info=False):
        """Close the connection; send a refusal first if the headers were too large."""
        if isinstance(exc_info, UnsatisfiableReadError) and not self._has_answer_begun:
            self._refuse_large_headers()
        super().close(exc_info)

    def _refuse_large_headers(self):
        _LOG.info("request with large headers refused")
        answer = make_raw_refusal(STATUS_HEADERS_TOO_LARGE, Refusal(Reason.BAD_REQUEST))
        try:
            self.socket.send(answer)
        except OSError:
            return


class CallConnection(MessageConnection):
    """One request and its answer on a caller's connection."""

    def close_after_answer(self):
        """Close the connection once the answer is sent."""
        self._disconnect_on_finish = True
