import asyncio
import contextlib

import attrs
import grpc

from gentianlink.core.node_record import NodeRecord
from gentianlink.core.settings import MeshSettings
from gentianlink.node.applied_catalogue import AppliedCatalogue
from gentianlink.node.clock import get_monotonic_ms
from gentianlink.node.membership import Membership
from gentianlink.node.mesh import frame_budget, mesh_pb2, mesh_pb2_grpc
from gentianlink.node.mesh import mesh as mesh_module
from gentianlink.node.mesh.convert import encode_node
from gentianlink.node.mesh.dialer import DialPlan, run_dialer, run_temporary_link
from gentianlink.node.mesh.mesh import Mesh
from gentianlink.node.mesh.monitor import Monitor
from gentianlink.node.mesh.server import start_mesh_server

ADDRESS = "127.0.0.1"
SETTINGS = attrs.evolve(MeshSettings(), heartbeat_ms=50, suspect_after_ms=400)
TIMEOUT_S = 5


class Peer:
    def __init__(self, name):
        place = ("r", "r-1", ADDRESS, 1, 2, 3)
        own = NodeRecord(name, 100, 1, *place)
        self.membership = Membership(own, lambda *change: None)
        self.mesh = Mesh(AppliedCatalogue(lambda: None), self.membership)
        self.monitor = Monitor(self.membership, self.mesh, SETTINGS, lambda: None)
        self.lost = []
        self.mesh.set_on_link_lost(self.lost.append)
        self.tasks = []

    async def start(self):
        self.server, self.port = await start_on_free_port(self.mesh)
        self.tasks.append(asyncio.create_task(self._tick()))

    async def _tick(self):
        while True:
            self.monitor.tick(get_monotonic_ms())
            await asyncio.sleep(0.02)

    def dial(self, name, port):
        plan = DialPlan(f"{ADDRESS}:{port}", name, lambda _: None, lambda *_: None)
        self.tasks.append(asyncio.create_task(run_dialer(self.mesh, plan)))

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.server.stop(0)


async def start_on_free_port(mesh):
    probe = await asyncio.start_server(lambda *_: None, ADDRESS, 0)
    port = probe.sockets[0].getsockname()[1]
    probe.close()
    await probe.wait_closed()
    return await start_mesh_server(mesh, None, ADDRESS, port), port


@contextlib.asynccontextmanager
async def run_peers(*names):
    peers = [Peer(name) for name in names]
    for peer in peers:
        await peer.start()
    try:
        yield peers
    finally:
        for peer in peers:
            await peer.stop()


async def wait_until(is_reached):
    async with asyncio.timeout(TIMEOUT_S):
        while not is_reached():
            await asyncio.sleep(0.01)


class Relay:
    """Forwards connections; ``silence`` stops the data of those opened so far."""

    def __init__(self, port):
        self._port = port
        self._generation = 0
        self.connections = 0

    async def start(self):
        self._server = await asyncio.start_server(self._serve, ADDRESS, 0)
        return self._server.sockets[0].getsockname()[1]

    def silence(self):
        self._generation += 1

    async def _serve(self, reader, writer):
        self.connections += 1
        far_reader, far_writer = await asyncio.open_connection(ADDRESS, self._port)
        generation = self._generation
        await asyncio.gather(
            self._copy(reader, far_writer, generation),
            self._copy(far_reader, writer, generation),
        )

    async def _copy(self, reader, writer, generation):
        while data := await reader.read(65536):
            if generation == self._generation:
                writer.write(data)
        if generation == self._generation:
            writer.close()

    def stop(self):
        self._server.close()


async def send_frames(port, frames):
    received = []

    async def produce():
        for frame in frames:
            yield frame
        await asyncio.sleep(TIMEOUT_S)

    async with grpc.aio.insecure_channel(f"{ADDRESS}:{port}") as channel:
        async for frame in mesh_pb2_grpc.MeshStub(channel).Link(produce()):
            if frame.WhichOneof("body") == "refusal":
                received.append(frame.refusal.reason)
                break
    return received


def make_hello(name):
    record = NodeRecord(name, 100, 1, "r", "r-1", ADDRESS, 1, 2, 3)
    return mesh_pb2.Frame(hello=mesh_pb2.Hello(node=encode_node(record)))


class TestLinks:
    def test_two_nodes_that_dial_each_other_keep_one_link(self):
        async def run():
            async with run_peers("a", "b") as (first, second):
                first.dial("b", second.port)
                second.dial("a", first.port)
                await wait_until(lambda: first.mesh.links and second.mesh.links)
                await asyncio.sleep(0.3)
                first_link = first.mesh.links["b"]
                second_link = second.mesh.links["a"]
                await asyncio.sleep(0.7)
                assert first.mesh.links == {"b": first_link}
                assert second.mesh.links == {"a": second_link}
                assert first_link.is_dialled is not second_link.is_dialled
                return first.lost + second.lost

        assert asyncio.run(run()) == []

    def test_silent_link_is_closed_and_reopened(self):
        async def run():
            async with run_peers("a", "b") as (first, second):
                relay = Relay(second.port)
                first.dial("b", await relay.start())
                await wait_until(lambda: "b" in first.mesh.links)
                old = first.mesh.links["b"]
                relay.silence()
                await wait_until(lambda: first.mesh.links.get("b") not in (None, old))
                relay.stop()
                return old.close_reason.value, first.lost, relay.connections

        end, lost, connections = asyncio.run(run())
        assert (end, lost) == ("silent", ["b"])
        assert connections == 2

    def test_malformed_frames_close_the_link_with_a_reason(self):
        async def run():
            async with run_peers("a") as (peer,):
                bad = mesh_pb2.Frame(record_digests={"digests": [1]})
                reasons = await send_frames(peer.port, [make_hello("x"), *[bad] * 5])
                hello = mesh_pb2.Frame(hello={"node": {"node_id": "x"}})
                return reasons + await send_frames(peer.port, [hello])

        assert asyncio.run(run()) == ["malformed", "malformed"]

    def test_exceeded_frame_rate_closes_the_link_with_a_reason(self, monkeypatch):
        monkeypatch.setattr(frame_budget, "FRAMES_BURST", 100)
        monkeypatch.setattr(frame_budget, "FRAMES_PER_S", 1)

        async def run():
            async with run_peers("a") as (peer,):
                frame = mesh_pb2.Frame(heartbeat={})
                return await send_frames(peer.port, [make_hello("x"), *[frame] * 200])

        assert asyncio.run(run()) == ["flood"]

    def test_links_beyond_the_limit_are_refused_with_a_reason(self, monkeypatch):
        monkeypatch.setattr(mesh_module, "MAX_ACCEPTED_LINKS", 1)

        async def run():
            async with run_peers("a", "b") as (first, second):
                second.dial("a", first.port)
                await wait_until(lambda: "b" in first.mesh.links)
                return await send_frames(first.port, [make_hello("x")])

        assert asyncio.run(run()) == ["full"]

    def test_node_does_not_link_to_itself(self):
        async def run():
            async with run_peers("a") as (peer,):
                plan = DialPlan(f"{ADDRESS}:{peer.port}")
                async with asyncio.timeout(TIMEOUT_S):
                    await run_temporary_link(peer.mesh, plan)
                return peer.mesh.links

        assert asyncio.run(run()) == {}
