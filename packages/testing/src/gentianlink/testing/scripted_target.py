"""Target that answers each request with a function set by the test."""

import asyncio
import socket
import struct

import attrs

from gentianlink.platform import wire
from gentianlink.testing.raw_http import format_message, read_message


def make_answer(request, body=b"done", status="200 OK", **headers):
    """Return the bytes of an answer that a target produced for a request.

    The answer repeats the id of the request and carries a seal.

    Parameters
    ----------
    request : RawMessage
        The request.
    body : bytes, optional
        Body.
    status : str, optional
        Status code and reason phrase.
    **headers : str
        Further headers; underscores in their names become hyphens.

    Returns
    -------
    bytes
        The answer.
    """
    all_headers = {
        wire.REQUEST_ID: request.headers[wire.REQUEST_ID.lower()],
        wire.ANSWER_SEAL: "seal",
    }
    all_headers.update(
        (name.replace("_", "-"), value) for name, value in headers.items()
    )
    return format_message(f"HTTP/1.1 {status}", all_headers, body)


def make_not_executed(request):
    """Return the bytes of a target's refusal, which says that nothing was executed."""
    headers = {wire.NOT_EXECUTED: "1"}
    return format_message("HTTP/1.1 503 Service Unavailable", headers)


@attrs.frozen(eq=False)
class ScriptedConnection:
    """Connection to a scripted target.

    Attributes
    ----------
    reader : asyncio.StreamReader
        Reader of the bytes from the peer.
    writer : asyncio.StreamWriter
        Writer of the bytes to the peer.
    """

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @property
    def is_ended(self):
        """Whether the peer has closed the connection."""
        return self.reader.at_eof()

    def reset(self):
        """Close the connection with a TCP reset."""
        connection = self.writer.get_extra_info("socket")
        linger = struct.pack("ii", 1, 0)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.writer.transport.abort()


class ScriptedTarget:
    """Serves an address; a function set by the test answers the requests.

    Parameters
    ----------
    target_id : str
        Id of the target.
    service : str
        Service that it provides.
    address : str
        IP address and TCP port.
    """

    def __init__(self, target_id, service, address):
        self.target_id = target_id
        self.service = service
        self.address = address
        self.requests = []
        self.ended = 0
        self._behaviour = None
        self._server = None
        self._writers = set()

    @property
    def request_ids(self):
        """Ids of the requests that arrived, in order."""
        return [item.headers[wire.REQUEST_ID.lower()] for item in self.requests]

    def set_behaviour(self, behaviour):
        """Set the coroutine function that answers a request.

        Parameters
        ----------
        behaviour : callable
            Coroutine function that takes the RawMessage and the ScriptedConnection;
            returns the bytes of the answer, or None to close the connection.
        """
        self._behaviour = behaviour

    async def start(self):
        """Start accepting connections."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def stop(self):
        """Stop accepting connections and close the open ones."""
        self._server.close()
        for writer in list(self._writers):
            writer.close()

    def crash(self):
        """End as a killed process does: no new connections, all open ones reset."""
        self._server.close()
        for writer in list(self._writers):
            ScriptedConnection(None, writer).reset()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                self.requests.append(request)
                answer = make_answer(request)
                if self._behaviour is not None:
                    answer = await self._behaviour(
                        request, ScriptedConnection(reader, writer)
                    )
                if answer is None:
                    return
                writer.write(answer)
                await writer.drain()
                self.ended += 1
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()
