"""Minimal HTTP/1.1 for tests that check exact bytes and the use of connections."""

import asyncio

import attrs


@attrs.frozen
class RawMessage:
    """Request or answer as received over a connection.

    Attributes
    ----------
    first_line : str
        Request line or status line.
    headers : dict of str to str
        Header values by name in lower case.
    body : bytes
        Body.
    """

    first_line: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self):
        """HTTP status of an answer."""
        return int(self.first_line.split()[1])


async def read_message(reader):
    """Read one message whose body has a length or is sent in chunks.

    Parameters
    ----------
    reader : asyncio.StreamReader
        Reader of the connection.

    Returns
    -------
    RawMessage
        The message.

    Raises
    ------
    asyncio.IncompleteReadError
        If the connection ends before the message is complete.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
    first_line, *lines = head.strip().split("\r\n")
    pairs = (line.partition(":") for line in lines)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    if headers.get("transfer-encoding") == "chunked":
        return RawMessage(first_line, headers, await _read_chunks(reader))
    length = int(headers.get("content-length", "0"))
    return RawMessage(first_line, headers, await reader.readexactly(length))


async def _read_chunks(reader):
    chunks = []
    while True:
        size = int(await reader.readuntil(b"\r\n"), 16)
        chunk = await reader.readexactly(size + 2)
        if not size:
            return b"".join(chunks)
        chunks.append(chunk[:size])


def format_message(first_line, headers, body=b""):
    """Return the bytes of a message, with a ``Content-Length`` header.

    Parameters
    ----------
    first_line : str
        Request line or status line.
    headers : dict of str to str
        Headers other than ``Content-Length``.
    body : bytes, optional
        Body.

    Returns
    -------
    bytes
        The message.
    """
    lines = [first_line, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def exchange(address, first_line, headers, body=b"", timeout_s=10.0):
    """Send one request over a new connection and return the answer.

    Parameters
    ----------
    address : str
        IP address and TCP port.
    first_line : str
        Request line.
    headers : dict of str to str
        Headers other than ``Content-Length``.
    body : bytes, optional
        Body.
    timeout_s : float, optional
        Timeout of the whole exchange in seconds.

    Returns
    -------
    RawMessage
        The answer.
    """
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(format_message(first_line, headers, body))
            return await read_message(reader)
        finally:
            writer.close()
