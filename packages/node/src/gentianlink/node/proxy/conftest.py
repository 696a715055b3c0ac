"""Nodes and scripted targets in one process, to test the path of a call."""

import asyncio

import attrs
import pytest

from gentianlink.core.endpoint import Endpoint
from gentianlink.core.entry import Entry
from gentianlink.core.limits import Limits
from gentianlink.core.node_record import NodeRecord
from gentianlink.core.routing_table import Route, RoutingTable
from gentianlink.core.target_state import TargetState
from gentianlink.core.work_class import WorkClass
from gentianlink.node.endpoint_health import EndpointHealth
from gentianlink.node.proxy.answer_relay import AnswerRelay
from gentianlink.node.proxy.connection_pool import ConnectionPool
from gentianlink.node.proxy.dispatcher import Dispatcher
from gentianlink.node.proxy.gate import Gate
from gentianlink.node.proxy.load_view import LoadView
from gentianlink.node.proxy.local_target import LocalTarget
from gentianlink.node.proxy.router import Router
from gentianlink.node.proxy.server import CallServer

ADDRESS = "127.0.0.1"
SILENCE_MS = 5000


class FakeClaims:
    """Executes every call, without claims or records."""

    def make_relay(self, writer, version, **options):
        return AnswerRelay(writer, version, **options)

    async def run_to_end(self, work):
        return await work

    async def execute(self, call, relay, run):
        refusal = await run()
        if refusal is None:
            await relay.end()
        return refusal


class FakeLocalTargets:
    """Local targets of a node, without announcements and leases."""

    def __init__(self):
        self.targets = {}

    def get(self, target_id):
        return self.targets.get(target_id)


@attrs.define
class BenchNode:
    """A node of the test bench, with its parts."""

    node_id: str
    port: int
    server: CallServer
    pool: ConnectionPool
    local_targets: FakeLocalTargets

    def get_gate(self, target_id="t1"):
        return self.local_targets.get(target_id).gate


class Bench:
    """Test bench: nodes and targets that share one event loop."""

    def __init__(self):
        self._servers = []
        self.nodes = []
        self.is_ready = True
        self.table = RoutingTable()
        self.connections = 0

    async def start_target(self, script):
        """Start a target; `script` takes reader, writer and connection number."""

        async def handle(reader, writer):
            self.connections += 1
            try:
                await script(reader, writer, self.connections)
            except (asyncio.IncompleteReadError, ConnectionError):
                pass
            finally:
                writer.close()

        server = await asyncio.start_server(handle, ADDRESS, 0)
        self._servers.append(server)
        return server.sockets[0].getsockname()[1]

    def start_node(self, node_id, silence_ms=SILENCE_MS):
        record = NodeRecord(
            node_id=node_id,
            incarnation=1,
            sequence=1,
            region="r",
            data_centre="dc1",
            address=ADDRESS,
            call_port=1,
            mesh_port=2,
            admin_port=3,
        )
        pool = ConnectionPool(130, 500)
        local_targets = FakeLocalTargets()
        dispatcher = Dispatcher(local_targets, pool, FakeClaims(), silence_ms)
        router = Router(
            record, dispatcher, pool, LoadView(), EndpointHealth(), silence_ms
        )
        server = CallServer(
            router, dispatcher, lambda: self.table, lambda: self.is_ready
        )
        port = server.listen(ADDRESS, 0)
        node = BenchNode(node_id, port, server, pool, local_targets)
        self.nodes.append(node)
        return node

    def add_target(self, node, port, target_id="t1", slots=10):
        node.local_targets.targets[target_id] = LocalTarget(
            service="s",
            target_id=target_id,
            address=ADDRESS,
            port=port,
            state=TargetState.READY,
            slots=slots,
            gate=Gate(slots),
            expires_ms=0.0,
        )

    def set_route(self, *locations, work_class=WorkClass.READ, **limits):
        """Route calls below /x to locations, pairs of node and target id."""
        endpoints = tuple(
            Endpoint(
                target_id=target_id,
                node_id=node.node_id,
                data_centre="dc1",
                address=ADDRESS,
                call_port=node.port,
                state=TargetState.READY,
                slots=10,
            )
            for node, target_id in locations
        )
        entry = Entry("e", "o", "s", work_class, "/x", Limits(**limits))
        self.table = RoutingTable(7, {"/x": Route(entry, endpoints, 0.5)})

    async def start_simple(self, script, work_class=WorkClass.READ, **limits):
        """Start one node with one local target, and route /x to it."""
        node = self.start_node("n1")
        self.add_target(node, await self.start_target(script))
        self.set_route((node, "t1"), work_class=work_class, **limits)
        return node

    async def stop(self):
        for node in self.nodes:
            node.server.stop_listening()
            node.server.close()
            node.pool.close()
        for server in self._servers:
            server.close()
        await asyncio.sleep(0)


class Caller:
    """One connection of a caller, with access to the raw bytes."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, node):
        return cls(*await asyncio.open_connection(ADDRESS, node.port))

    def send(self, data):
        self.writer.write(data)

    async def read_answer(self, has_body=True):
        """Return status, headers in lower case and body of one answer."""
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode()
        lines = head.split("\r\n")
        pairs = [line.split(": ", 1) for line in lines[1:] if line]
        headers = {name.lower(): value for name, value in pairs}
        body = b""
        if has_body and "content-length" in headers:
            body = await self.reader.readexactly(int(headers["content-length"]))
        elif has_body and "transfer-encoding" in headers:
            body = await self._read_chunks()
        return int(lines[0].split()[1]), headers, body

    async def _read_chunks(self):
        body = b""
        while size := int((await self.reader.readuntil(b"\r\n"))[:-2], 16):
            body += (await self.reader.readexactly(size + 2))[:-2]
        await self.reader.readexactly(2)
        return body

    async def get(self, path="/x", **headers):
        """Send a request without a body and return its answer."""
        self.send(make_request("GET", path, **headers))
        return await self.read_answer()

    def close(self):
        self.writer.close()


def make_request(method, path, body=b"", **headers):
    lines = [f"{method} {path} HTTP/1.1", "Host: h"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def read_request(reader):
    """Return the head of a request, and its body if it has a Content-Length."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    for line in head.split("\r\n"):
        name, _, value = line.partition(": ")
        if name.lower() == "content-length":
            return head, await reader.readexactly(int(value))
    return head, b""


def make_answer(body, status="200 OK", **headers):
    lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def echo_path(reader, writer, number):
    """Answer every request with its path."""
    while True:
        head, _ = await read_request(reader)
        writer.write(make_answer(head.split()[1].encode()))


@attrs.frozen
class Tools:
    """Helpers of the tests, as one fixture."""

    make_bench: type = Bench
    caller: type = Caller
    make_request: object = staticmethod(make_request)
    read_request: object = staticmethod(read_request)
    make_answer: object = staticmethod(make_answer)
    echo_path: object = staticmethod(echo_path)

    def run(self, test):
        """Run a coroutine function that takes a bench."""

        async def run():
            bench = Bench()
            try:
                return await asyncio.wait_for(test(bench), 10)
            finally:
                await bench.stop()

        return asyncio.run(run())


@pytest.fixture
def tools():
    return Tools()
