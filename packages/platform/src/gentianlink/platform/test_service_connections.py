import asyncio

import pytest
from tornado.tcpclient import TCPClient

from gentianlink.core.errors import PlatformOutcomeUnknown, PlatformUnavailable
from gentianlink.platform.service_answer import ServiceAnswer
from gentianlink.platform.service_connections import ServiceConnections

TIMEOUT_MS = 2000
SHORT_TIMEOUT_MS = 50
DISCONNECT, SILENT = "cut", "silent"


def make_answer(body, status="200 OK", extra_headers=""):
    head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n{extra_headers}\r\n"
    return head.encode() + body


class Service:
    """Server that answers the requests of each connection from a script."""

    def __init__(self, *scripts):
        self._scripts = scripts
        self.requests = []
        self.connections = 0

    async def start(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        script = self._scripts[self.connections]
        self.connections += 1
        for answer in script:
            head = await reader.readuntil(b"\r\n\r\n")
            self.requests.append(head.split(b" HTTP")[0].decode())
            if b"Content-Length" in head:
                await reader.readexactly(1)
            if answer is SILENT:
                await reader.read()
            if answer is DISCONNECT:
                break
            writer.write(answer)
        writer.close()


def run(service, *requests, timeout_ms=TIMEOUT_MS):
    """Send requests sequentially; return answers or exception types."""

    async def send_all():
        url = f"http://127.0.0.1:{await service.start()}/base"
        connections = ServiceConnections(url, timeout_ms)
        results = []
        for method, path, body in requests:
            try:
                answer = await connections.send(method, path, body)
                results.append(answer)
            except (PlatformUnavailable, PlatformOutcomeUnknown) as error:
                results.append(type(error))
            await asyncio.sleep(0.01)
        connections.close()
        return results

    return asyncio.run(send_all())


GET = ("GET", "/a", None)
POST = ("POST", "/b", b"x")
OK = ServiceAnswer(200, b"ok")
OK_BYTES = make_answer(b"ok")


class TestServiceConnections:
    def test_connection_is_reused(self):
        service = Service([OK_BYTES, OK_BYTES, OK_BYTES])
        assert run(service, GET, POST, GET) == [OK, OK, OK]
        assert service.requests == ["GET /base/a", "POST /base/b", "GET /base/a"]
        assert service.connections == 1

    def test_connection_that_the_service_closes_is_not_reused(self):
        closing = make_answer(b"ok", extra_headers="Connection: close\r\n")
        service = Service([closing, OK_BYTES], [OK_BYTES])
        assert run(service, POST, POST) == [OK, OK]
        assert service.connections == 2

    def test_idle_connection_that_was_closed_is_replaced(self):
        service = Service([OK_BYTES], [OK_BYTES])
        assert run(service, POST, POST) == [OK, OK]
        assert service.connections == 2

    def test_unsolicited_answer_is_not_used(self):
        service = Service([OK_BYTES + make_answer(b"crossed"), SILENT], [OK_BYTES])
        assert run(service, POST, POST) == [OK, OK]
        assert service.connections == 2

    def test_read_is_retried_after_a_lost_answer(self):
        service = Service([OK_BYTES, DISCONNECT], [OK_BYTES])
        assert run(service, GET, GET) == [OK, OK]
        assert len(service.requests) == 3

    def test_write_is_never_retried_after_a_lost_answer(self):
        service = Service([OK_BYTES, DISCONNECT], [OK_BYTES])
        assert run(service, GET, POST, POST) == [OK, PlatformOutcomeUnknown, OK]
        assert len(service.requests) == 3

    def test_silent_connection_times_out(self):
        service = Service([OK_BYTES, SILENT], [OK_BYTES])
        results = run(service, GET, POST, POST, timeout_ms=SHORT_TIMEOUT_MS)
        assert results == [OK, PlatformOutcomeUnknown, OK]
        assert service.connections == 2

    @pytest.mark.parametrize(
        "answer",
        [
            DISCONNECT,
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
            b"HTTP/1.1 200 OK\r\n\r\nno known end",
            b"nonsense\r\n\r\n",
            make_answer(b"", "500 Oops"),
            make_answer(b"", "502 Bad Gateway"),
        ],
    )
    def test_failed_or_incomplete_answer_leaves_the_outcome_unknown(self, answer):
        assert run(Service([answer]), POST) == [PlatformOutcomeUnknown]

    @pytest.mark.parametrize("status", ["503 Unavailable", "429 Too Many"])
    def test_refusal_raises_platform_unavailable(self, status):
        service = Service([make_answer(b"", status), OK_BYTES])
        assert run(service, POST, POST) == [PlatformUnavailable, OK]
        assert service.connections == 1

    # Guards against an error that is no PlatformError and ends the task that sends.
    @pytest.mark.parametrize("method", ["GET", "POST"])
    def test_connection_reset_at_once_raises_platform_unavailable(
        self, method, monkeypatch
    ):
        async def connect(client, *args, **kwargs):
            stream = await original(client, *args, **kwargs)
            stream.close()
            return stream

        async def send():
            port = await Service([OK_BYTES]).start()
            connections = ServiceConnections(f"http://127.0.0.1:{port}", TIMEOUT_MS)
            with pytest.raises(PlatformUnavailable):
                await connections.send(method, "/")
            await asyncio.sleep(0.01)

        original = TCPClient.connect
        monkeypatch.setattr(TCPClient, "connect", connect)
        asyncio.run(send())

    def test_refused_connection_raises_platform_unavailable(self):
        async def send():
            server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            server.close()
            await server.wait_closed()
            await ServiceConnections(f"http://127.0.0.1:{port}", 500).send("POST", "/")

        with pytest.raises(PlatformUnavailable):
            asyncio.run(send())
