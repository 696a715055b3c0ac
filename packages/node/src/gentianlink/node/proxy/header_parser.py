"""Parse and format the head of a message, with one check of the whole block."""

import re

from tornado.concurrent import Future, future_add_done_callback
from tornado.http1connection import HTTP1Connection, parse_int
from tornado.httputil import HTTPHeaders
from tornado.iostream import StreamClosedError

# Lines as RFC 9112 defines them. All others are left to tornado, which refuses most.
_WELL_FORMED = re.compile(
    rb"[^\r\n\x00]+\r\n(?:[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t\x20-\x7e\x80-\xff]*\r\n)*\r\n"
)
_WHITESPACE = " \t"
METHODS_WITH_BODY = ("POST", "PUT", "PATCH")
FIRST_FINAL_STATUS = 200
STATUS_NOT_MODIFIED = 304
STATUSES_WITHOUT_BODY = (204, STATUS_NOT_MODIFIED)


def parse_head(data):
    """Parse the head of a message.

    Parameters
    ----------
    data : bytes
        Start line and headers with the empty line that ends them.

    Returns
    -------
    start_line : str
        Start line without its end.
    headers : HTTPHeaders
        Headers in their order. None if the head is not strictly well-formed.
    """
    if _WELL_FORMED.fullmatch(data) is None:
        return "", None
    start_line, *lines = data[:-4].decode("latin1").split("\r\n")
    headers = HTTPHeaders()
    for line in lines:
        name, _, value = line.partition(":")
        value = value.strip(_WHITESPACE)
        if name in headers:
            headers.add(name, value)
        else:
            headers[name] = value
    return start_line, headers


def format_head(start_line, headers):
    """Return the bytes of the head of a message.

    Parameters
    ----------
    start_line : str
        Start line without its end.
    headers : HTTPHeaders
        Headers.

    Returns
    -------
    bytes
        Start line and headers with the empty line that ends them.

    Raises
    ------
    ValueError
        If a line contains CR or LF.
    """
    lines = [f"{name}: {value}" for name, value in headers.get_all()]
    text = "\r\n".join(lines)
    ends = len(lines) - 1 if lines else 0
    if text.count("\r") != ends or text.count("\n") != ends:
        raise ValueError("Illegal characters (CR or LF) in a header")
    if "\r" in start_line or "\n" in start_line:
        raise ValueError("Illegal characters (CR or LF) in a start line")
    head = f"{text}\r\n\r\n" if lines else "\r\n"
    return start_line.encode() + b"\r\n" + head.encode("latin1")


class MessageConnection(HTTP1Connection):
    """One exchange on a connection, with the parser and formatter of this module."""

    def write_headers(self, start_line, headers, chunk=None):
        """Write the head of a message, and the first part of its body.

        Does what tornado does, with one check and encoding for all lines.

        Parameters
        ----------
        start_line : RequestStartLine or ResponseStartLine
            Start line.
        headers : HTTPHeaders
            Headers; those that frame the message are added in place.
        chunk : bytes, optional
            First part of the body.

        Returns
        -------
        asyncio.Future
            Done when the bytes were written.

        Raises
        ------
        ValueError
            If a line contains CR or LF.
        """
        has_length = "Content-Length" in headers
        if self.is_client:
            self._request_start_line = start_line
            first = f"{start_line.method} {start_line.path} HTTP/1.1"
            has_body = True
            may_chunk = start_line.method in METHODS_WITH_BODY
        else:
            self._response_start_line = start_line
            first = f"HTTP/1.1 {start_line.code} {start_line.reason}"
            may_chunk = self._may_chunk_answer(start_line.code)
            has_body = self._request_start_line.method != "HEAD"
            has_body &= start_line.code != STATUS_NOT_MODIFIED
            self._set_connection_header(headers)
        self._chunking_output = may_chunk and not has_length
        if self._chunking_output:
            headers["Transfer-Encoding"] = "chunked"
        if not has_body:
            self._expected_content_remaining = 0
        elif has_length:
            self._expected_content_remaining = parse_int(headers["Content-Length"])
        else:
            self._expected_content_remaining = None
        data = format_head(first, headers)
        future = self._write_future = Future()
        if self.stream.closed():
            future.set_exception(StreamClosedError())
            future.exception()
            return future
        if chunk:
            data += self._format_chunk(chunk)
        self._pending_write = self.stream.write(data)
        future_add_done_callback(self._pending_write, self._on_write_complete)
        return future

    def _may_chunk_answer(self, status):
        request = self._request_start_line
        return (
            request.version == "HTTP/1.1"
            and request.method != "HEAD"
            and status >= FIRST_FINAL_STATUS
            and status not in STATUSES_WITHOUT_BODY
        )

    def _set_connection_header(self, headers):
        version = self._request_start_line.version
        if version == "HTTP/1.1":
            if self._disconnect_on_finish:
                headers["Connection"] = "close"
        elif version == "HTTP/1.0":
            value = self._request_headers.get("Connection", "")
            if value.lower() == "keep-alive":
                headers["Connection"] = "Keep-Alive"

    def _parse_headers(self, data):
        start_line, headers = parse_head(data)
        return (
            super()._parse_headers(data) if headers is None else (start_line, headers)
        )
