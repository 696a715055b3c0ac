import asyncio
import socket

import pytest

from gentianlink.platform import wire
from gentianlink.sidecar.hop import HOP_HEADER, format_hop
from gentianlink.testing.raw_http import format_message
from gentianlink.testing.sidecar_world import DEADLINE_MS, HOST, SidecarWorld

SETTLE_S = 0.3


def send_and_leave(address, body=b"", **headers):
    """Send a whole call and close the connection before anybody can read it."""
    all_headers = {
        "Host": HOST,
        wire.REQUEST_ID: "gone",
        wire.DEADLINE_MS: str(DEADLINE_MS),
    } | headers
    host, _, port = address.rpartition(":")
    line = "POST /read/1 HTTP/1.1" if body else "GET /read/1 HTTP/1.1"
    with socket.create_connection((host, int(port))) as connection:
        connection.sendall(format_message(line, all_headers, body))


def run(work):
    async def run_world():
        async with SidecarWorld(["inquiry", "inquiry"], ["a", "b"]) as world:
            # Opens the connections to the targets, so that no call waits for one.
            for node in world.nodes:
                assert (await node.call("/read/1", "before")).status == 200
                node.target.requests.clear()
            await work(world)

    asyncio.run(run_world())


class TestCallerThatHasLeft:
    # Guards against executing a call of a caller that left while a busy node had not
    # read the call yet.
    @pytest.mark.parametrize("body", [b"", b"x" * 1000])
    def test_call_that_was_read_after_its_caller_left_is_not_executed(self, body):
        async def work(world):
            send_and_leave(world.nodes[0].calls_address, body)
            await asyncio.sleep(SETTLE_S)
            assert [node.target.requests for node in world.nodes] == [[], []]

        run(work)

    def test_forwarded_call_whose_node_has_left_is_not_executed(self):
        async def work(world):
            node = world.nodes[1]
            record = node.sidecar._directory.own
            headers = {HOP_HEADER: format_hop(node.make_hop())}
            send_and_leave(record.forward_address, b"", **headers)
            await asyncio.sleep(SETTLE_S)
            assert node.target.requests == []

        run(work)


class TestTargetThatReadsLate:
    BODY_BYTES = 400 * 1024
    # What the kernel keeps for the target. By default it may grow beyond the body.
    RECEIVE_BUFFER_BYTES = 16 * 1024

    # Guards against delivering the rest of a call whose caller has left, so that a
    # target executes it once it gets round to reading it.
    def test_call_is_not_delivered_after_its_caller_has_left(self):
        async def work(world):
            node = world.nodes[0]
            await node.target.stop()
            may_read = asyncio.Event()
            received = []

            async def read_late(reader, writer):
                await may_read.wait()
                size = 0
                try:
                    while chunk := await reader.read(1 << 16):
                        size += len(chunk)
                except ConnectionError:
                    pass
                received.append(size)
                writer.close()

            host, _, port = node.target.address.rpartition(":")
            listener = socket.create_server((host, int(port)))
            listener.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, self.RECEIVE_BUFFER_BYTES
            )
            # The limit keeps the rest of the body out of the target's process.
            server = await asyncio.start_server(read_late, sock=listener, limit=1024)
            call = asyncio.create_task(
                node.call("/read/1", "gone", "POST", b"x" * self.BODY_BYTES)
            )
            await asyncio.sleep(SETTLE_S)
            call.cancel()
            await asyncio.sleep(SETTLE_S)
            may_read.set()
            await world.wait_until(lambda: received)
            server.close()
            assert all(size < self.BODY_BYTES for size in received)

        run(work)
