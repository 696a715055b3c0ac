import asyncio

import pytest

from gentianlink.platform import wire
from gentianlink.sidecar.answer_buffer import BUFFER_BYTES
from gentianlink.sidecar.hop import HOP_HEADER, format_result
from gentianlink.sidecar.target_load import TargetLoad
from gentianlink.testing.raw_http import format_message
from gentianlink.testing.scripted_target import ScriptedTarget, make_answer
from gentianlink.testing.sidecar_world import DEADLINE_MS, HOST, SidecarWorld

# Distance of the places within a head or body at which answers are cut.
STEP_BYTES = 3
LARGE_BYTES = 2 * BUFFER_BYTES
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
HOP = {HOP_HEADER: format_result(None, TargetLoad(0, 0, 0.0), 1)}


def make_chunked(request, **headers):
    """Return an answer in two chunks."""
    answer = make_answer(request, b"", **headers)
    head = answer.replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
    return head + b"12\r\n" + b"x" * 18 + b"\r\n3\r\nabc\r\n0\r\n\r\n"


# Ways to frame an answer: none of them is complete if its last byte is missing.
FRAMINGS = {
    "length": lambda request, **headers: make_answer(request, b"x" * 20, **headers),
    "empty": lambda request, **headers: make_answer(request, b"", **headers),
    "chunks": make_chunked,
    "end of the connection": lambda request, **headers: make_answer(
        request, b"", **headers
    ).replace(b"Content-Length: 0\r\n", b""),
    "after an interim answer": lambda request, **headers: (
        INTERIM + make_answer(request, b"x" * 20, **headers)
    ),
    "after another answer": lambda request, **headers: (
        make_answer(request, b"x" * 20, **headers).replace(b"id-", b"no-")
        + make_answer(request, b"y" * 20, **headers)
    ),
}


class Cut:
    """Answers with the first bytes of an answer, then ends the connection."""

    def __init__(self, make, is_reset, **headers):
        self._make = make
        self._is_reset = is_reset
        self._headers = headers
        self.size = 0

    async def __call__(self, request, connection):
        """Answer one call."""
        data = self._make(request, **self._headers)[: self.size]
        connection.writer.write(data)
        await connection.writer.drain()
        if self._is_reset:
            await asyncio.sleep(0.001)
            connection.reset()

    def count_bytes(self, request_id):
        """Return the size of the whole answer."""
        request = make_request(request_id)
        return len(self._make(request, **self._headers))


def make_request(request_id):
    class Request:
        headers = {wire.REQUEST_ID.lower(): request_id}

    return Request


async def check_all_cuts(node, cut):
    """Check that no part of an answer is relayed as a success."""
    for size in range(0, cut.count_bytes("id-000"), STEP_BYTES):
        cut.size = size
        answer = await node.call("/buy/1", f"id-{size:03}")
        assert answer.status >= 500, size


async def send_head_request(address, request_id):
    """Send a HEAD request and return the status; no body follows its answer."""
    host, _, port = address.rpartition(":")
    headers = {
        "Host": HOST,
        wire.REQUEST_ID: request_id,
        wire.DEADLINE_MS: str(DEADLINE_MS),
    }
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(format_message("HEAD /buy/1 HTTP/1.1", headers))
    head = await reader.readuntil(b"\r\n\r\n")
    writer.close()
    return int(head.split()[1])


class TestAnswerOfATarget:
    # Guards against a success with an empty or short body after a target has stopped
    # in the middle of its answer.
    @pytest.mark.parametrize("framing", FRAMINGS)
    @pytest.mark.parametrize("is_reset", [False, True])
    def test_part_of_it_is_never_a_success(self, framing, is_reset):
        async def run_world():
            async with SidecarWorld(["inquiry"]) as world:
                cut = Cut(FRAMINGS[framing], is_reset)
                world.nodes[0].target.set_behaviour(cut)
                await check_all_cuts(world.nodes[0], cut)

        asyncio.run(run_world())

    # Guards against the same for a head without a body.
    def test_part_of_a_head_is_never_a_success_for_head(self):
        async def run_world():
            async with SidecarWorld(["inquiry"]) as world:
                cut = Cut(FRAMINGS["empty"], False)
                world.nodes[0].target.set_behaviour(cut)
                for size in range(0, cut.count_bytes("id-000"), STEP_BYTES):
                    cut.size = size
                    status = await send_head_request(
                        world.nodes[0].calls_address, f"id-{size:03}"
                    )
                    assert status >= 500, size

        asyncio.run(run_world())

    # Guards against an end that looks whole after a part of a large answer.
    @pytest.mark.parametrize("services", [["inquiry"], ["registry", "inquiry"]])
    @pytest.mark.parametrize("is_chunked", [False, True])
    @pytest.mark.parametrize("missing", [1, 3, 6, LARGE_BYTES // 4])
    def test_streamed_answer_is_not_ended_early(self, services, is_chunked, missing):
        body = b"x" * LARGE_BYTES

        def make_large(request):
            if not is_chunked:
                return make_answer(request, body)
            head = make_answer(request, b"")
            head = head.replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
            return head + b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)

        async def run_world():
            async with SidecarWorld(services) as world:
                cut = Cut(make_large, False)
                cut.size = cut.count_bytes("id-1") - missing
                world.nodes[-1].target.set_behaviour(cut)
                try:
                    answer = await world.nodes[0].call("/buy/1", "id-1")
                except (asyncio.IncompleteReadError, ConnectionError):
                    return
                assert answer.status >= 500

        asyncio.run(run_world())


class TestAnswerOfANode:
    # Guards against the same where the node beside the target ends in the middle.
    @pytest.mark.parametrize("framing", FRAMINGS)
    @pytest.mark.parametrize("is_reset", [False, True])
    def test_part_of_it_is_never_a_success(self, framing, is_reset):
        async def run_world():
            async with SidecarWorld(["registry", "inquiry"]) as world:
                node = world.nodes[1]
                address = node.sidecar._directory.own.forward_address
                await node.kill()
                cut = Cut(FRAMINGS[framing], is_reset, **HOP)
                other = ScriptedTarget("node", "inquiry", address)
                other.set_behaviour(cut)
                await other.start()
                await check_all_cuts(world.nodes[0], cut)
                await other.stop()

        asyncio.run(run_world())


def make_large_answer(request, framing):
    """Return the beginning of an answer that is relayed while it arrives."""
    answer = make_answer(request, b"")
    body = b"a" * LARGE_BYTES
    if framing == "length":
        length = f"Content-Length: {2 * LARGE_BYTES}".encode()
        return answer.replace(b"Content-Length: 0", length) + body
    if framing == "chunks":
        head = answer.replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
        return head + f"{LARGE_BYTES:x}\r\n".encode() + body + b"\r\n"
    return answer.replace(b"Content-Length: 0\r\n", b"") + body


class FailThenBreakOff:
    """Fails the first call with 500; begins a large answer to the next, and stops."""

    def __init__(self, framing, is_reset, failure):
        self._framing = framing
        self._is_reset = is_reset
        self._failure = failure
        self.calls = 0

    async def __call__(self, request, connection):
        """Answer one call."""
        self.calls += 1
        if self.calls == 1:
            return make_answer(request, self._failure, "500 Internal Server Error")
        connection.writer.write(make_large_answer(request, self._framing))
        await connection.writer.drain()
        # The caller has the beginning by then.
        await asyncio.sleep(0.3)
        if self._is_reset:
            connection.reset()
        await connection.reader.read()


async def fill_retry_budget(node):
    """Make calls through a node to raise its retry budget, a share of its calls."""
    for number in range(40):
        await node.call("/read/0", f"before-{number}")


class TestAnswerAfterAFailure:
    # Guards against completing a begun answer with the body of an earlier failure: it
    # looks like a whole success (MIXED).
    @pytest.mark.parametrize("framing", ["length", "chunks", "end of the connection"])
    @pytest.mark.parametrize("is_reset", [False, True])
    @pytest.mark.parametrize("failure", [b"", b"internal error"])
    def test_begun_answer_is_not_completed(self, framing, is_reset, failure):
        async def run_world():
            async with SidecarWorld(["registry", "inquiry", "inquiry"]) as world:
                caller, *others = world.nodes
                await fill_retry_budget(caller)
                behaviour = FailThenBreakOff(framing, is_reset, failure)
                for node in others:
                    node.target.set_behaviour(behaviour)
                headers = {"Deadline_Ms": "1000"}
                with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                    await caller.call("/read/1", "id-1", **headers)
                assert behaviour.calls == 2

        asyncio.run(run_world())

    def test_failure_is_relayed_if_the_next_answer_has_not_begun(self):
        async def run_world():
            async with SidecarWorld(["registry", "inquiry", "inquiry"]) as world:
                caller, *others = world.nodes
                await fill_retry_budget(caller)
                calls = []

                async def fail_or_reset(request, connection):
                    calls.append(request)
                    if len(calls) == 1:
                        return make_answer(request, b"no", "500 Internal Server Error")
                    connection.reset()
                    return None

                for node in others:
                    node.target.set_behaviour(fail_or_reset)
                answer = await caller.call("/read/1", "id-1")
                assert (answer.status, answer.body) == (500, b"no")
                assert len(calls) == 2

        asyncio.run(run_world())
