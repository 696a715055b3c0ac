"""Bodies of any size reach the target whole, or the call is not executed at all."""

import asyncio
import contextlib
import hashlib
import random
import resource

import pytest

from gentianlink.platform import wire
from gentianlink.sidecar.call_reader import WHOLE_BODY_BYTES
from gentianlink.sidecar.sidecar import Sidecar
from gentianlink.testing.raw_http import format_message, read_message
from gentianlink.testing.scripted_target import make_answer, make_not_executed
from gentianlink.testing.sidecar_world import (
    HOST,
    RULES,
    SidecarWorld,
    encode_catalogue,
    make_rule,
)

ONE_NODE = ("inquiry",)
TWO_NODES = ("registry", "inquiry")
UPLOAD_RULE = make_rule("upload", "/upload/", "inquiry", kind="upload", timeout_s=20)
RESET_S = 0.2
# A body that is refused by its length alone is refused at once.
REFUSE_S = 0.5
KB = 1 << 10
MB = 1 << 20


def run(work, services, rules=(*RULES, UPLOAD_RULE)):
    async def run_world():
        async with SidecarWorld(services, rules=list(rules)) as world:
            await work(world)

    asyncio.run(run_world())


def make_headers(number, deadline_ms=10_000):
    return {
        "Host": HOST,
        wire.REQUEST_ID: f"id-{number}",
        wire.DEADLINE_MS: str(deadline_ms),
    }


def format_head(number, framing, path="/upload/1", **options):
    headers = make_headers(number, **options) | framing
    lines = [f"POST {path} HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items())]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def format_chunks(rng, body):
    """Return a body in chunks of random sizes."""
    parts = []
    while body:
        size = rng.choice((1, 17, 4096, 70_000, 300_000))
        chunk, body = body[:size], body[size:]
        parts.append(b"%x\r\n%b\r\n" % (len(chunk), chunk))
    return b"".join([*parts, b"0\r\n\r\n"])


def format_request(rng, number, body):
    """Return a request whose body has a length or is sent in chunks."""
    if rng.random() < 0.5:
        headers = make_headers(number)
        return format_message("POST /upload/1 HTTP/1.1", headers, body)
    framing = {"Transfer-Encoding": "chunked"}
    return format_head(number, framing) + format_chunks(rng, body)


def make_body(rng):
    edges = (0, 1, 64 * KB - 1, 64 * KB, 64 * KB + 1, 512 * KB, 512 * KB + 1, 2 * MB)
    size = rng.choice((rng.choice(edges), rng.randrange(2 * MB)))
    return rng.randbytes(size)


async def write_in_pieces(rng, writer, data):
    while data:
        size = rng.choice((1, 100, 1460, 65_536, 1_000_000))
        writer.write(data[:size])
        data = data[size:]
        await writer.drain()
        await asyncio.sleep(0)


def connect(node):
    host, _, port = node.calls_address.rpartition(":")
    return asyncio.open_connection(host, int(port))


async def answer_digest(request, connection):
    """Target behaviour: execute the call and answer with the digest of its body."""
    return make_answer(request, hashlib.sha256(request.body).hexdigest().encode())


async def answer_digest_late(request, connection):
    """Target behaviour: the same after a while."""
    await asyncio.sleep(0.02)
    return await answer_digest(request, connection)


class TestWholeBodies:
    """Bodies of 0 B to 2 MB, with a length and in chunks, cut anywhere."""

    @pytest.mark.parametrize("services", [ONE_NODE, TWO_NODES])
    @pytest.mark.parametrize("behaviour", [answer_digest, answer_digest_late])
    @pytest.mark.parametrize("seed", [1, 2])
    def test_every_byte_arrives_over_fresh_and_used_connections(
        self, services, behaviour, seed
    ):
        # Guards against large bodies that are cut off, run and answered 200 (UNASKED).
        rng = random.Random(seed)

        async def work(world):
            world.nodes[-1].target.set_behaviour(behaviour)
            reader, writer = await connect(world.nodes[0])
            for number in range(12):
                if rng.random() < 0.3:
                    writer.close()
                    reader, writer = await connect(world.nodes[0])
                body = make_body(rng)
                await write_in_pieces(rng, writer, format_request(rng, number, body))
                answer = await asyncio.wait_for(read_message(reader), 10)
                digest = hashlib.sha256(body).hexdigest().encode()
                assert (answer.status, answer.body) == (200, digest), len(body)
                assert answer.headers[wire.REQUEST_ID.lower()] == f"id-{number}"
            writer.close()

        run(work, services)

    @pytest.mark.parametrize("services", [ONE_NODE, TWO_NODES])
    @pytest.mark.parametrize("size", [100, 200 * KB, 600 * KB])
    def test_refusal_reaches_the_caller_and_is_true(self, services, size):
        """The target is full: it reads the body and answers that it did not run."""

        async def refuse(request, connection):
            return make_not_executed(request)

        async def work(world):
            world.nodes[-1].target.set_behaviour(refuse)
            answer = await world.nodes[0].call("/upload/1", "id-1", "POST", b"x" * size)
            assert answer.status == 503

        run(work, services)

    def test_whole_body_goes_to_another_target_after_a_refusal(self):
        async def refuse(request, connection):
            return make_not_executed(request)

        async def work(world):
            for number in range(40):
                await world.nodes[0].call("/upload/1", f"before-{number}", "POST")
            world.nodes[0].target.set_behaviour(refuse)
            world.nodes[1].target.set_behaviour(answer_digest)
            body = random.Random(1).randbytes(300 * KB)
            answer = await world.nodes[0].call("/upload/1", "id-1", "POST", body)
            digest = hashlib.sha256(body).hexdigest().encode()
            assert (answer.status, answer.body) == (200, digest)

        run(work, ("inquiry", "inquiry"))

    @pytest.mark.parametrize("services", [ONE_NODE, TWO_NODES])
    @pytest.mark.parametrize("size", [200 * KB, 600 * KB, 2 * MB])
    def test_reset_within_the_body_is_not_told_as_not_run(self, services, size):
        """A target that resets connections may have run the call."""

        async def reset(request, connection):
            connection.reset()
            await asyncio.sleep(RESET_S)

        async def work(world):
            world.nodes[-1].target.set_behaviour(reset)
            body = b"x" * size
            answer = await world.nodes[0].call("/upload/1", "id-1", "POST", body)
            assert answer.status == 502
            assert world.nodes[-1].target.request_ids == ["id-1"]

        run(work, services)

    @pytest.mark.parametrize("services", [ONE_NODE, TWO_NODES])
    @pytest.mark.parametrize("size", [200 * KB, 2 * MB])
    def test_target_may_answer_before_it_has_read_the_body(self, services, size):
        async def work(world):
            target = world.nodes[-1].target
            await target.stop()
            host, _, port = target.address.rpartition(":")
            bodies = []

            async def answer_early(reader, writer):
                with contextlib.suppress(asyncio.IncompleteReadError):
                    while True:
                        head = await reader.readuntil(b"\r\n\r\n")
                        lines = head.decode().lower().split("\r\n")[1:]
                        headers = dict(line.split(": ") for line in lines if line)
                        seal = {
                            wire.REQUEST_ID: headers[wire.REQUEST_ID.lower()],
                            wire.ANSWER_SEAL: "seal",
                        }
                        writer.write(format_message("HTTP/1.1 200 OK", seal, b"early"))
                        await asyncio.sleep(0.05)
                        length = int(headers["content-length"])
                        bodies.append(await reader.readexactly(length))

            server = await asyncio.start_server(answer_early, host, int(port))
            for number in range(3):
                body = random.Random(number).randbytes(size)
                answer = await world.nodes[0].call(
                    "/upload/1", f"id-{number}", "POST", body
                )
                assert (answer.status, answer.body) == (200, b"early")
            await asyncio.sleep(0.3)
            sent = [random.Random(number).randbytes(size) for number in range(3)]
            assert all(body in sent for body in bodies)
            server.close()

        run(work, services)


class TestPartialBodies:
    """Callers that stall, break off, send too much or malformed chunks."""

    @pytest.mark.parametrize("services", [ONE_NODE, TWO_NODES])
    @pytest.mark.parametrize("sent", [1 * KB, 63 * KB, 100 * KB, 200 * KB, 900 * KB])
    @pytest.mark.parametrize("is_closed", [False, True])
    def test_body_shorter_than_declared_does_not_run(self, services, sent, is_closed):
        # Guards against calls that run with the part that has arrived (UNASKED).
        async def work(world):
            reader, writer = await connect(world.nodes[0])
            framing = {"Content-Length": str(sent + 100 * KB)}
            writer.write(format_head(1, framing, deadline_ms=400) + b"x" * sent)
            await writer.drain()
            if is_closed:
                writer.close()
                await asyncio.sleep(0.3)
            else:
                with contextlib.suppress(TimeoutError):
                    data = await asyncio.wait_for(reader.read(200), 0.6)
                    assert not data.startswith(b"HTTP/1.1 2")
                writer.close()
            assert not world.nodes[-1].target.requests
            answer = await world.nodes[0].call("/upload/1", "id-2", "POST", b"x")
            assert answer.status == 200

        run(work, services)

    @pytest.mark.parametrize("services", [ONE_NODE, TWO_NODES])
    @pytest.mark.parametrize("size", [10, 40 * KB, 80 * KB, 300 * KB, 900 * KB])
    @pytest.mark.parametrize("end", [b"zz\r\n", b"-5\r\n", b"10\r\nshort"])
    def test_malformed_chunks_do_not_run(self, services, size, end):
        async def work(world):
            reader, writer = await connect(world.nodes[0])
            framing = {"Transfer-Encoding": "chunked"}
            writer.write(format_head(1, framing, deadline_ms=800))
            writer.write(b"%x\r\n%b\r\n" % (size, b"x" * size) + end)
            writer.write_eof()
            data = await asyncio.wait_for(reader.read(), 5)
            assert not data.startswith(b"HTTP/1.1 2")
            assert not world.nodes[-1].target.requests

        run(work, services)

    @pytest.mark.parametrize("is_chunked", [False, True])
    @pytest.mark.parametrize("limit", [1 * KB, 100 * KB, 700 * KB])
    def test_body_above_the_limit_of_the_catalogue_is_refused(self, limit, is_chunked):
        async def work(world):
            data = encode_catalogue(2, [UPLOAD_RULE], max_body_bytes=limit)
            world.write_operator_row(data)
            await world.wait_until(
                lambda: all(node.sidecar.version == 2 for node in world.nodes)
            )
            body = b"x" * (limit + 1)
            if is_chunked:
                framing = {"Transfer-Encoding": "chunked"}
                data = format_head(1, framing) + format_chunks(random.Random(1), body)
            else:
                headers = make_headers(1)
                data = format_message("POST /upload/1 HTTP/1.1", headers, body)
            for node in world.nodes:
                reader, writer = await connect(node)
                writer.write(data)
                answer = await asyncio.wait_for(read_message(reader), REFUSE_S)
                # A target that was sent a part of the body may have acted on it.
                is_streamed = is_chunked and limit > WHOLE_BODY_BYTES
                assert answer.status in ((413, 502) if is_streamed else (413,))
                writer.close()
            assert not any(node.target.requests for node in world.nodes)
            answer = await world.nodes[0].call(
                "/upload/1", "id-2", "POST", b"x" * limit
            )
            assert answer.status == 200

        run(work, TWO_NODES)

    def test_caller_that_asks_before_it_sends_is_refused_at_once(self):
        async def work(world):
            data = encode_catalogue(2, [UPLOAD_RULE], max_body_bytes=100 * KB)
            world.write_operator_row(data)
            node = world.nodes[0]
            await world.wait_until(lambda: node.sidecar.version == 2)
            reader, writer = await connect(node)
            framing = {"Content-Length": str(200 * KB), "Expect": "100-continue"}
            writer.write(format_head(1, framing))
            answer = await asyncio.wait_for(read_message(reader), REFUSE_S)
            assert answer.status == 413
            writer.close()

        run(work, ONE_NODE)

    def test_bytes_after_the_body_are_not_part_of_the_call(self):
        async def work(world):
            world.nodes[-1].target.set_behaviour(answer_digest)
            body = b"x" * 100 * KB
            reader, writer = await connect(world.nodes[0])
            request = format_message("POST /upload/1 HTTP/1.1", make_headers(1), body)
            writer.write(request + b"y" * 1000 + b"\r\n\r\n")
            answer = await asyncio.wait_for(read_message(reader), 5)
            assert answer.body == hashlib.sha256(body).hexdigest().encode()
            writer.close()
            await asyncio.sleep(0.1)
            assert world.nodes[-1].target.request_ids == ["id-1"]

        run(work, TWO_NODES)


class TestMemory:
    """Many large uploads at the same time."""

    def test_buffered_bytes_stay_below_the_budget(self):
        uploads, size = 200, 360 * KB
        bound_mb = 100

        async def answer_slowly(request, connection):
            await asyncio.sleep(0.01)
            return await answer_digest(request, connection)

        async def work(world):
            world.nodes[-1].target.set_behaviour(answer_slowly)
            body = random.Random(1).randbytes(size)
            head = format_head("n", {"Content-Length": str(size)}, deadline_ms=20_000)
            before_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / KB
            connections = []
            for _ in range(uploads):
                reader, writer = await connect(world.nodes[0])
                writer.write(head + body[: 300 * KB])
                connections.append((reader, writer))
            await asyncio.sleep(0.5)
            servers = get_servers(world.nodes[0].sidecar)
            used = [server.body_budget.used_bytes for server in servers]
            assert 0 < max(used) <= 8 * MB
            after_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / KB
            assert after_mb - before_mb < bound_mb
            for _, writer in connections:
                writer.write(body[300 * KB :])
            digest = hashlib.sha256(body).hexdigest().encode()
            served = 0
            for reader, writer in connections:
                answer = await asyncio.wait_for(read_message(reader), 20)
                assert answer.status in (200, 503)
                served += answer.status == 200
                assert answer.status == 503 or answer.body == digest
                writer.close()
            assert served
            await asyncio.sleep(0.1)
            assert [server.body_budget.used_bytes for server in servers] == [0, 0]

        run(work, ONE_NODE)


def get_servers(sidecar: Sidecar):
    return sidecar._caller_server, sidecar._forward_server
