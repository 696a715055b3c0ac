"""HTTP client with a connection pool for one platform service."""

import asyncio
import socket
import ssl
import time
import urllib.parse

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import HTTPHeaders, RequestStartLine
from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient

from gentianlink.core.errors import PlatformOutcomeUnknown, PlatformUnavailable
from gentianlink.platform.answer_reader import AnswerReader
from gentianlink.platform.service_answer import ServiceAnswer
from gentianlink.platform.socket_options import set_connection_options

MAX_ANSWER_BYTES = 64 << 20
MAX_IDLE_CONNECTIONS = 8
MAX_IDLE_TIME_S = 5.0
STATUS_SERVER_ERROR = 500
REFUSED_STATUSES = frozenset((429, 503))
DEFAULT_PORTS = {"http": 80, "https": 443}

_PARAMETERS = HTTP1ConnectionParameters(max_body_size=MAX_ANSWER_BYTES)


class ServiceConnections:
    """Sends requests to a service over pooled keep-alive connections.

    Parameters
    ----------
    url : str
        Base URL of the service.
    timeout_ms : int
        Timeout in milliseconds of each request.
    """

    def __init__(self, url, timeout_ms):
        parts = urllib.parse.urlsplit(url)
        self._host = parts.hostname
        self._port = parts.port or DEFAULT_PORTS[parts.scheme]
        self._path = parts.path
        self._host_header = parts.netloc.rpartition("@")[2]
        self._ssl_context = (
            ssl.create_default_context() if parts.scheme == "https" else None
        )
        self._timeout_s = timeout_ms / 1000
        self._client = TCPClient()
        self._idle = []
        self._bytes = 0

    @property
    def transferred_bytes(self):
        """Approximate number of bytes sent and received, including headers."""
        return self._bytes

    async def send(self, method, path, body=None, timeout_ms=None, may_repeat=True):
        """Send one request.

        Parameters
        ----------
        method : str
            HTTP method.
        path : str
            Path relative to the base URL, with the query.
        body : bytes, optional
            Body of the request.
        timeout_ms : int, optional
            Timeout in milliseconds that overrides the default.
        may_repeat : bool, optional
            Whether a GET request is repeated if its idle connection was lost.

        Returns
        -------
        ServiceAnswer
            Complete answer with a status below 500 other than 429.

        Raises
        ------
        PlatformUnavailable
            If the request was not sent, or was refused with status 429 or 503.
        PlatformOutcomeUnknown
            If no complete answer arrived, or its status is 500 or above, but not 503.
        """
        timeout_s = self._timeout_s if timeout_ms is None else timeout_ms / 1000
        deadline_s = time.monotonic() + timeout_s
        is_repeatable = may_repeat and method == "GET"
        answer = await self._send_over_idle(
            method, path, body, deadline_s, is_repeatable
        )
        if answer is None:
            stream = await self._connect(deadline_s)
            answer = await self._exchange(stream, method, path, body, deadline_s)
        if answer.code in REFUSED_STATUSES:
            raise PlatformUnavailable(f"status {answer.code}")
        if answer.code >= STATUS_SERVER_ERROR:
            raise PlatformOutcomeUnknown(f"status {answer.code}")
        return answer

    async def _send_over_idle(self, method, path, body, deadline_s, is_repeatable):
        """Return the answer over an idle connection, None if a new one is needed."""
        stream = self._pop_idle(time.monotonic())
        if stream is None:
            return None
        try:
            return await self._exchange(stream, method, path, body, deadline_s)
        except PlatformOutcomeUnknown:
            # The cause of the failure may affect the other idle connections as well.
            self.close()
            if not is_repeatable or time.monotonic() >= deadline_s:
                raise
        return None

    def _pop_idle(self, now_s):
        while self._idle:
            stream, idle_since_s = self._idle.pop()
            if now_s - idle_since_s < MAX_IDLE_TIME_S and is_open_and_idle(stream):
                return stream
            stream.close()
        return None

    async def _connect(self, deadline_s):
        deadline_s = min(deadline_s, time.monotonic() + self._timeout_s)
        try:
            async with asyncio.timeout(max(0, deadline_s - time.monotonic())):
                stream = await self._client.connect(
                    self._host, self._port, ssl_options=self._ssl_context
                )
            # The service may have reset the connection already.
            if stream.closed():
                raise StreamClosedError(stream.error)
            set_connection_options(stream.socket)
        except (OSError, StreamClosedError, TimeoutError) as error:
            why = type(error).__name__
            raise PlatformUnavailable(f"no connection: {why}") from error
        return stream

    async def _exchange(self, stream, method, path, body, deadline_s):
        reader = AnswerReader()
        is_reusable = False
        try:
            async with asyncio.timeout(max(0, deadline_s - time.monotonic())):
                connection = HTTP1Connection(stream, True, _PARAMETERS)
                self._write(connection, method, path, body)
                is_open = await connection.read_response(reader)
            is_reusable = is_open and reader.is_complete and reader.keeps_connection
        except TimeoutError as error:
            raise PlatformOutcomeUnknown("timed out waiting for the answer") from error
        except (StreamClosedError, OSError) as error:
            raise PlatformOutcomeUnknown(type(error).__name__) from error
        finally:
            self._bytes += reader.size_bytes
            self._release(stream, is_reusable)
        if not reader.is_complete:
            raise PlatformOutcomeUnknown("the answer is incomplete")
        return ServiceAnswer(reader.code, reader.body, reader.headers)

    def _write(self, connection, method, path, body):
        target = self._path + path
        headers = HTTPHeaders({"Host": self._host_header})
        if body is not None:
            headers["Content-Length"] = str(len(body))
        connection.write_headers(RequestStartLine(method, target, ""), headers, body)
        connection.finish()
        self._bytes += len(target) + len(self._host_header) + len(body or b"")

    def _release(self, stream, is_reusable):
        if is_reusable and len(self._idle) < MAX_IDLE_CONNECTIONS:
            self._idle.append((stream, time.monotonic()))
        else:
            stream.close()

    def close(self):
        """Close all idle connections."""
        for stream, _ in self._idle:
            stream.close()
        self._idle.clear()


def is_open_and_idle(stream):
    """Return whether a connection is open and has no unread input.

    Input between two requests makes a connection unusable: bytes would be taken for
    the next answer, and an end of file means that the service closed the connection.

    Parameters
    ----------
    stream : tornado.iostream.IOStream
        The connection.

    Returns
    -------
    bool
        True if the connection can be reused for another request.
    """
    if stream.closed() or stream._read_buffer_size:
        return False
    try:
        flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
        socket.socket.recv(stream.socket, 1, flags)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False
