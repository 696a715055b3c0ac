"""HTTP/1.1 caller with keep-alive and little overhead, for load tests."""

import asyncio
import time

import attrs

from gentianlink.core import headers as names

MS_PER_S = 1000
CONNECTION_LOST = "connection-lost"
READ_BYTES = 1 << 16


@attrs.frozen
class Answer:
    """Result of one call.

    Attributes
    ----------
    status : int
        HTTP status; 0 if the connection was lost.
    outcome : str
        Value of the outcome header; empty if absent.
    reason : str
        Value of the reason header, empty if absent; ``connection-lost`` if the
        connection was lost.
    retry_after_ms : int
        Delay before a caller retry in milliseconds; 0 if the header is absent.
    elapsed_ms : float
        Time from the start of the call, which may open a connection, to the last byte
        read or the loss of the connection in milliseconds.
    body_bytes : int
        Size of the body in bytes.
    """

    status: int
    outcome: str
    reason: str
    retry_after_ms: int
    elapsed_ms: float
    body_bytes: int


class Caller:
    """Sends calls to one address over a pool of keep-alive connections.

    Parameters
    ----------
    address : str
        IP address.
    port : int
        TCP port.
    """

    def __init__(self, address, port):
        self._address = address
        self._port = port
        self._idle = []

    async def call(self, path, headers=(), method="GET", body=b""):
        """Send a request, read the whole answer and discard its body.

        Parameters
        ----------
        path : str
            Path of the request.
        headers : iterable of tuple, optional
            Names and values.
        method : str, optional
            HTTP method.
        body : bytes, optional
            Body of the request.

        Returns
        -------
        Answer
            Status, headers of the mesh, time and size of the answer.
        """
        started_s = time.perf_counter()
        connection = None
        try:
            connection = await self._acquire()
            answer = await _exchange(
                connection, make_request(method, path, headers, body), started_s
            )
        except (OSError, asyncio.IncompleteReadError):
            elapsed_ms = (time.perf_counter() - started_s) * MS_PER_S
            _close(connection)
            return Answer(0, "", CONNECTION_LOST, 0, elapsed_ms, 0)
        except asyncio.CancelledError:
            _close(connection)
            raise
        self._idle.append(connection)
        return answer

    async def _acquire(self):
        while self._idle:
            reader, writer = self._idle.pop()
            if not reader.at_eof():
                return reader, writer
            writer.close()
        return await asyncio.open_connection(self._address, self._port)

    def close(self):
        """Close the idle connections."""
        for connection in self._idle:
            _close(connection)
        self._idle.clear()


def _close(connection):
    if connection is not None:
        connection[1].close()


def make_request(method, path, headers, body=b""):
    """Return the bytes of a request."""
    lines = [f"{method} {path} HTTP/1.1", "Host: caller"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def _exchange(connection, request, started_s):
    reader, writer = connection
    writer.write(request)
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = head.split("\r\n")
    fields = {}
    for line in lines[1:-2]:
        name, _, value = line.partition(":")
        fields[name.lower()] = value.strip()
    size = await _discard_body(reader, fields)
    elapsed_ms = (time.perf_counter() - started_s) * MS_PER_S
    return Answer(
        status=int(lines[0].split()[1]),
        outcome=fields.get(names.OUTCOME.lower(), ""),
        reason=fields.get(names.REASON.lower(), ""),
        retry_after_ms=int(fields.get(names.RETRY_AFTER_MS.lower(), 0)),
        elapsed_ms=elapsed_ms,
        body_bytes=size,
    )


async def _discard_body(reader, fields):
    if fields.get("transfer-encoding") == "chunked":
        return await _discard_chunks(reader)
    size = int(fields.get("content-length", 0))
    await _discard_exactly(reader, size)
    return size


async def _discard_chunks(reader):
    total = 0
    while size := int((await reader.readuntil(b"\r\n"))[:-2], 16):
        await _discard_exactly(reader, size + 2)
        total += size
    await reader.readexactly(2)
    return total


async def _discard_exactly(reader, size):
    while size > 0:
        part = await reader.read(min(size, READ_BYTES))
        if not part:
            raise asyncio.IncompleteReadError(b"", size)
        size -= len(part)
