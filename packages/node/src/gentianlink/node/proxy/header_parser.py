"""Parse the start line and headers of a message, with one check of the whole block."""

import re

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders

# Lines as RFC 9112 defines them. All others are left to tornado, which refuses most.
_WELL_FORMED = re.compile(
    rb"[^\r\n\x00]+\r\n(?:[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t\x20-\x7e\x80-\xff]*\r\n)*\r\n"
)
_WHITESPACE = " \t"


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


class MessageConnection(HTTP1Connection):
    """One exchange on a connection, with the parser of this module."""

    def _parse_headers(self, data):
        start_line, headers = parse_head(data)
        return (
            super()._parse_headers(data) if headers is None else (start_line, headers)
        )
