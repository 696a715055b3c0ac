import asyncio
import hashlib

import pytest
from tornado.iostream import StreamClosedError

from gentianlink.node.proxy.request_body import MAX_BUFFERED_BYTES, RequestBody

PART = bytes(range(256)) * 256
PARTS = 32
BODY = PART * PARTS
DIGEST = hashlib.sha256(BODY).hexdigest().encode()
LARGEST = 1 << 30
OUTCOME = "x-gentianlink-outcome"


def make_head(framing):
    return b"POST /x HTTP/1.1\r\nHost: h\r\n" + framing + b"\r\n\r\n"


SIZED = f"Content-Length: {len(BODY)}".encode()
CHUNKED = b"Transfer-Encoding: chunked"


def make_parts(framing):
    if framing == SIZED:
        return [PART] * PARTS
    chunk = f"{len(PART):x}\r\n".encode() + PART + b"\r\n"
    return [chunk] * PARTS + [b"0\r\n\r\n"]


async def start_two_hops(bench, tools, script, **limits):
    beside = bench.start_node("n1")
    bench.add_target(beside, await bench.start_target(script))
    bench.set_route((beside, "t1"), deadline_ms=9000, **limits)
    return bench.start_node("n2")


async def answer_with_digest(tools, reader, writer):
    head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
    digest = hashlib.sha256()
    if "transfer-encoding" in head:
        while size := int((await reader.readuntil(b"\r\n"))[:-2], 16):
            digest.update((await reader.readexactly(size + 2))[:-2])
        await reader.readexactly(2)
    else:
        for _ in range(PARTS):
            digest.update(await reader.readexactly(len(PART)))
    writer.write(tools.make_answer(digest.hexdigest().encode()))


class TestStreaming:
    @pytest.mark.parametrize("framing", [SIZED, CHUNKED])
    def test_large_request_passes_two_nodes_whole_and_more_follow(self, tools, framing):
        async def test(bench):
            async def script(reader, writer, number):
                while True:
                    await answer_with_digest(tools, reader, writer)

            node = await start_two_hops(bench, tools, script, body_max_bytes=LARGEST)
            caller = await tools.caller.connect(node)
            bodies = []
            for _ in range(2):
                caller.send(make_head(framing))
                for part in make_parts(framing):
                    caller.send(part)
                    await caller.writer.drain()
                bodies.append((await caller.read_answer())[2])
            return bodies, bench.connections

        assert tools.run(test) == ([DIGEST, DIGEST], 1)

    def test_answer_before_the_end_of_the_request_arrives_whole(self, tools):
        async def test(bench):
            async def script(reader, writer, number):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(tools.make_answer(b"enough", "413 Too Large"))
                await reader.read()

            node = await start_two_hops(bench, tools, script, body_max_bytes=LARGEST)
            caller = await tools.caller.connect(node)
            caller.send(make_head(SIZED) + PART * 2)
            status, headers, body = await caller.read_answer()
            return status, headers[OUTCOME], body

        assert tools.run(test) == (413, "done", b"enough")

    @pytest.mark.proves("own-answer", "cut", "route")
    def test_request_aborted_by_the_caller_is_truncated_at_the_target(self, tools):
        async def test(bench):
            begun = asyncio.Event()
            seen = asyncio.Event()
            ends = []

            async def script(reader, writer, number):
                await reader.readuntil(b"\r\n\r\n")
                begun.set()
                try:
                    await reader.readexactly(len(BODY))
                except asyncio.IncompleteReadError as error:
                    ends.append(len(error.partial) < len(BODY))
                    seen.set()

            node = await start_two_hops(bench, tools, script, body_max_bytes=LARGEST)
            caller = await tools.caller.connect(node)
            caller.send(make_head(SIZED) + PART * 4)
            await begun.wait()
            caller.close()
            await seen.wait()
            await node.server.wait_idle()
            return ends

        assert tools.run(test) == [True]

    def test_chunked_request_beyond_the_limit_is_aborted(self, tools):
        async def test(bench):
            async def script(reader, writer, number):
                await answer_with_digest(tools, reader, writer)

            node = await start_two_hops(
                bench, tools, script, body_max_bytes=len(PART) * 4
            )
            caller = await tools.caller.connect(node)
            caller.send(make_head(CHUNKED) + b"".join(make_parts(CHUNKED)))
            status, headers, _ = await caller.read_answer()
            return status, headers[OUTCOME]

        assert tools.run(test) == (502, "unknown")

    @pytest.mark.parametrize("answer", [b"", b"HTTP/1.1 400 Bad Request\r\n\r\n"])
    def test_target_that_closes_early_leaks_no_connection(self, tools, answer):
        async def test(bench):
            async def script(reader, writer, number):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(answer)
                await writer.drain()

            node = await start_two_hops(bench, tools, script, body_max_bytes=LARGEST)
            caller = await tools.caller.connect(node)
            caller.send(make_head(SIZED) + BODY)
            status, headers, _ = await caller.read_answer()
            caller.close()
            for item in bench.nodes:
                while item.server.connections:
                    await asyncio.sleep(0)
            return status, headers[OUTCOME]

        assert tools.run(test) == (502, "unknown")

    @pytest.mark.proves("own-answer", "overload", "answer")
    def test_back_pressure_of_a_slow_caller_reaches_the_target(self, tools):
        async def test(bench):
            written = []
            stuck = asyncio.Event()

            async def script(reader, writer, number):
                await tools.read_request(reader)
                size = 64 << 20
                writer.write(
                    f"HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n".encode()
                )
                for _ in range(size // len(PART)):
                    writer.write(PART)
                    written.append(len(PART))
                    try:
                        await asyncio.wait_for(writer.drain(), 0.2)
                    except TimeoutError:
                        stuck.set()
                        return

            node = await start_two_hops(bench, tools, script)
            _, writer = await asyncio.open_connection(
                "127.0.0.1", node.port, limit=1 << 16
            )
            writer.write(tools.make_request("GET", "/x"))
            await stuck.wait()
            writer.close()
            return sum(written)

        assert tools.run(test) < 32 << 20


class TestRequestBody:
    def test_put_waits_while_the_buffer_is_full(self):
        async def run():
            body = RequestBody(b"first")
            putting = asyncio.create_task(body.put(b"x" * MAX_BUFFERED_BYTES))
            await asyncio.sleep(0)
            before = putting.done(), body.buffered_bytes, body.is_replayable
            await body.read()
            await putting
            return before, body.buffered_bytes, body.is_replayable

        assert asyncio.run(run()) == ((False, MAX_BUFFERED_BYTES, True), 0, False)

    def test_discard_unblocks_put_and_fails_read(self):
        async def run():
            body = RequestBody(b"")
            putting = asyncio.create_task(body.put(b"x" * MAX_BUFFERED_BYTES))
            await asyncio.sleep(0)
            body.discard()
            await putting
            await body.put(b"more")
            with pytest.raises(StreamClosedError):
                await body.read()
            return body.buffered_bytes

        assert asyncio.run(run()) == 0

    def test_truncated_body_fails_read_after_the_parts_that_arrived(self):
        async def run():
            body = RequestBody(b"")
            await body.put(b"part")
            body.fail()
            first = await body.read()
            with pytest.raises(StreamClosedError):
                await body.read()
            return first

        assert asyncio.run(run()) == b"part"
