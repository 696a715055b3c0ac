"""Plain HTTP/1.1 over asyncio streams, without libraries."""

import asyncio
import contextlib


class Message:
    """A request or an answer.

    Parameters
    ----------
    first_line : str
        Request line or status line.
    headers : dict of str to str
        Headers by name in lower case.
    body : bytes
        The body.
    """

    def __init__(self, first_line, headers, body):
        self.first_line = first_line
        self.headers = headers
        self.body = body

    @property
    def status(self):
        """Status of an answer."""
        return int(self.first_line.split()[1])

    @property
    def method(self):
        """Method of a request."""
        return self.first_line.split()[0]

    @property
    def path(self):
        """Path and query of a request."""
        return self.first_line.split()[1]


async def read_message(reader):
    """Read a message with a length or in chunks; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first_line, *lines = head.decode("latin1").rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int(await reader.readline(), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return Message(first_line, headers, body)


def format_message(first_line, headers, body=b""):
    """Return the bytes of a message with a length."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin1") + b"\r\n\r\n" + body


async def request(address, first_line, headers, body=b"", timeout_s=1.0):
    """Send a request on a new connection; return the answer, None if there is none."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(format_message(first_line, headers, body))
            return await read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


async def watch_end(reader, writer):
    """Return once the other end has closed the connection.

    The reader must not be in use by another task.
    """
    with contextlib.suppress(ConnectionError):
        while not reader.at_eof() and not writer.is_closing():
            await asyncio.sleep(0.02)
