"""Stand-in of an application server and of the heartbeats that it sends."""

import asyncio
import contextlib
import json
import secrets
import socket
import struct
import time

from stand_in_http import format_message, read_message, request

HEARTBEAT_S = 1.5
# Parts in which a streamed body is sent.
STREAM_PARTS = 50
# A heartbeat counts as acknowledged if the answer arrives within a second.
ACK_S = 1.0
RETRY_S = 0.05


class Reply:
    """An answer that a server makes.

    Parameters
    ----------
    status : int
        Status.
    body : bytes
        Body.
    work_s : float, optional
        Time of work; None for that of the server.
    is_streamed : bool, optional
        Whether the body is sent while it is made, in place of the time of work before
        it. Such an answer has no length and ends with its connection.
    """

    def __init__(self, status, body, work_s=None, is_streamed=False):
        self.status = status
        self.body = body
        self.work_s = work_s
        self.is_streamed = is_streamed


class Server:
    """A server of one service, beside one node.

    Parameters
    ----------
    name : str
        Id of this lifetime.
    service : str
        Service that it provides.
    zone : str
        Its zone.
    address : str
        IP address and TCP port for requests.
    control : str
        Address for its heartbeats.
    slots : int
        Number of requests that it works on at once.
    record : Record
        Takes note of what it runs.
    """

    def __init__(self, name, service, zone, address, control, slots, record):
        self.name = name
        self.service = service
        self.address = address
        self.control = control
        self.work_s = 0.02
        self.runs = []
        # Whether each request is recorded; too many of them would fill the file.
        self.is_recorded = True
        # Takes the request; returns the Reply.
        self.make_reply = lambda message: Reply(200, f"by {self.name}".encode())
        self._zone = zone
        self._slots = asyncio.Semaphore(slots)
        self._capacity = slots
        self._record = record
        self._born_ms = 0
        self._sequence = 0
        self._server = None
        self._beats = None
        self._writers = set()

    async def start(self):
        """Start to serve and to send heartbeats."""
        self._born_ms = int(time.time() * 1000)
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        self._beats = asyncio.create_task(self._beat())

    def stop(self):
        """End the server."""
        self._beats.cancel()
        self._server.close()

    def crash(self):
        """End as a crashed process does: all connections are reset."""
        self._beats.cancel()
        self._server.close()
        for writer in list(self._writers):
            connection = writer.get_extra_info("socket")
            linger = struct.pack("ii", 1, 0)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

    async def start_anew(self):
        """Start again with another id, as a new lifetime."""
        self.name = f"i-{secrets.token_hex(4)}"
        self._sequence = 0
        await self.start()

    async def _beat(self):
        while True:
            is_acknowledged = await self.send_heartbeat("ready")
            await asyncio.sleep(HEARTBEAT_S if is_acknowledged else RETRY_S)

    async def send_heartbeat(self, state):
        """Send one heartbeat; return whether it was acknowledged."""
        self._sequence += 1
        body = {
            "service": self.service,
            "address": self.address,
            "zone": self._zone,
            "version": "v1",
            "capacity": self._capacity,
            "state": state,
            "cold_left_s": 0,
            "sequence": self._sequence,
            "born": self._born_ms,
        }
        line = f"PUT /api/instances/{self.name} HTTP/1.1"
        headers = {"Host": self.control, "Content-Type": "application/json"}
        answer = await request(
            self.control, line, headers, json.dumps(body).encode(), ACK_S
        )
        return answer is not None and 200 <= answer.status < 300

    async def leave(self):
        """Announce with DELETE that the server leaves; return the time of the ack.

        No heartbeat follows. Without an ack the announcement is repeated.
        """
        self._beats.cancel()
        line = f"DELETE /api/instances/{self.name} HTTP/1.1"
        while True:
            answer = await request(
                self.control, line, {"Host": self.control}, b"", ACK_S
            )
            if answer is not None and 200 <= answer.status < 300:
                acknowledged_s = time.monotonic()
                self._record.note("leave acknowledged", server=self.name)
                return acknowledged_s
            await asyncio.sleep(RETRY_S)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                work = asyncio.create_task(self._answer(message))
                end = asyncio.create_task(_watch(reader))
                await asyncio.wait((work, end), return_when="FIRST_COMPLETED")
                if not work.done():
                    # A request is dropped when its connection closes.
                    self._record.note(
                        "connection of a request closed",
                        server=self.name,
                        id=message.headers.get("request-id"),
                    )
                    work.cancel()
                    return
                end.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await end
                if not await self._write(writer, work.result()):
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _write(self, writer, answer):
        """Write an answer; return whether the connection stays open."""
        if isinstance(answer, bytes):
            writer.write(answer)
            await writer.drain()
            return True
        head, reply = answer
        writer.write(head)
        if not reply.is_streamed:
            writer.write(reply.body)
            await writer.drain()
            return True
        start_s = time.monotonic()
        size = len(reply.body) // STREAM_PARTS
        for part in range(STREAM_PARTS + 1):
            due_s = start_s + self._get_work_s(reply) * part / STREAM_PARTS
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            writer.write(reply.body[part * size : (part + 1) * size])
            await writer.drain()
        return False

    def _get_work_s(self, reply):
        return self.work_s if reply.work_s is None else reply.work_s

    async def _answer(self, message):
        headers = message.headers
        if message.path == "/health":
            return format_message("HTTP/1.1 200 OK", {"Instance-Id": self.name})
        request_id = headers.get("request-id")
        if request_id is None:
            return format_message("HTTP/1.1 400 Bad Request", {"Not-Executed": "1"})
        if headers.get("expect-instance", self.name) != self.name:
            answer = {"Instance-Id": self.name, "Request-Id": request_id}
            return format_message("HTTP/1.1 421 Misdirected Request", answer)
        async with self._slots:
            if self.is_recorded:
                self.runs.append((request_id, time.monotonic()))
                self._record.note("run", server=self.name, id=request_id)
            reply = self.make_reply(message)
            if not reply.is_streamed:
                await asyncio.sleep(self._get_work_s(reply))
        if self.is_recorded:
            self._record.note(
                "answers",
                server=self.name,
                id=request_id,
                status=reply.status,
                body_bytes=len(reply.body),
            )
        framing = f"Content-Length: {len(reply.body)}"
        lines = [
            f"HTTP/1.1 {reply.status} {'OK' if reply.status == 200 else 'Error'}",
            f"Request-Id: {request_id}",
            f"Server-Seal: {self.name}.1",
            "Connection: close" if reply.is_streamed else framing,
        ]
        return "\r\n".join(lines).encode() + b"\r\n\r\n", reply


async def _watch(reader):
    """Return at the end of the connection; leaves the bytes of a next request."""
    while not reader.at_eof():
        await asyncio.sleep(0.02)
