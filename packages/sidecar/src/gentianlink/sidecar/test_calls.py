import asyncio
import contextlib

import pytest

from gentianlink.platform import wire
from gentianlink.testing.raw_http import format_message
from gentianlink.testing.scripted_target import make_answer, make_not_executed
from gentianlink.testing.sidecar_world import (
    HOST,
    RULES,
    STARTED_MS,
    SidecarWorld,
    make_rule,
)

# A target gets no calls that are sent this long after it said that it leaves.
DRAIN_S = 2.0


def run(work, services=("inquiry", "inquiry"), **options):
    async def run_world():
        async with SidecarWorld(services, **options) as world:
            await work(world)

    asyncio.run(run_world())


def get_arrivals(world):
    return [item for node in world.nodes for item in node.target.requests]


async def answer_500(request, connection):
    """Target behaviour: execute the call and answer 500."""
    return make_answer(request, b"failed", "500 Internal Server Error")


async def close_without_answer(request, connection):
    """Target behaviour: close the connection without an answer."""


async def answer_not_executed(request, connection):
    """Target behaviour: answer that the call was not executed."""
    return make_not_executed(request)


async def grow_budget(node, path, calls, *details):
    """Make calls through a node to raise its retry budget, a share of its calls."""
    for number in range(calls):
        await node.call(path, f"before-{number}", *details)


class TestAnswers:
    def test_call_reaches_the_target_of_another_node(self):
        async def work(world):
            answer = await world.nodes[0].call("/read/1", "id-1", Cookie="x=1")
            assert (answer.status, answer.body) == (200, b"done")
            assert answer.headers[wire.ANSWER_SEAL.lower()] == "seal"
            assert not [name for name in answer.headers if name.startswith("gl-")]
            [request] = world.nodes[1].target.requests
            assert request.first_line == "GET /read/1 HTTP/1.1"
            assert request.headers["cookie"] == "x=1"
            assert request.headers[wire.CALLING_SERVICE.lower()] == "registry"
            assert request.headers[wire.EXPECTED_TARGET.lower()] == "target-2"
            assert int(request.headers[wire.DEADLINE_MS.lower()]) <= 2000
            assert "gl-hop" not in request.headers

        run(work, ("registry", "inquiry"))

    def test_callers_can_not_forge_the_calling_service_or_the_hop(self):
        async def work(world):
            headers = {wire.CALLING_SERVICE: "forged", "Gl-Hop": "forged"}
            answer = await world.nodes[0].call("/read/1", "id-1", **headers)
            assert answer.status == 200
            [request] = get_arrivals(world)
            assert request.headers[wire.CALLING_SERVICE.lower()] == "inquiry"

        run(work)

    def test_answer_to_another_call_is_discarded(self):
        async def answer_twice(request, connection):
            own = make_answer(request)
            other = own.replace(b"id-1", b"id-0").replace(b"done", b"evil")
            return other + own

        async def work(world):
            world.nodes[0].target.set_behaviour(answer_twice)
            answer = await world.nodes[0].call("/buy/1", "id-1", "POST", b"x")
            assert (answer.status, answer.body) == (200, b"done")

        run(work, ("inquiry",))

    def test_late_extra_answer_is_not_relayed_to_the_next_call(self):
        async def answer_and_add(request, connection):
            connection.writer.write(make_answer(request))
            await asyncio.sleep(0.05)
            return make_answer(request, b"extra")

        async def work(world):
            node = world.nodes[0]
            node.target.set_behaviour(answer_and_add)
            first = await node.call("/read/1", "id-1")
            second = await node.call("/read/2", "id-2")
            assert [first.body, second.body] == [b"done", b"done"]

        run(work, ("inquiry",))

    @pytest.mark.parametrize(
        "make_bad",
        [
            lambda request: make_answer(request)[:-2],
            lambda request: b"\x00\x01nonsense\r\n\r\n",
            lambda request: b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone",
            lambda request: b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
        ],
    )
    def test_bad_answer_is_never_relayed(self, make_bad):
        async def spoil(request, connection):
            connection.writer.write(make_bad(request))
            return None

        async def work(world):
            for node in world.nodes:
                node.target.set_behaviour(spoil)
            answer = await world.nodes[0].call("/buy/1", "id-1", "POST", b"x")
            assert answer.status == 502
            assert len(get_arrivals(world)) == 1

        run(work)

    def test_answer_without_length_is_complete_when_its_connection_closes(self):
        async def answer_and_close(request, connection):
            head = make_answer(request, b"").replace(b"Content-Length: 0\r\n", b"")
            connection.writer.write(head + b"whole")
            return None

        async def work(world):
            world.nodes[0].target.set_behaviour(answer_and_close)
            answer = await world.nodes[0].call("/read/1", "id-1")
            assert (answer.status, answer.body) == (200, b"whole")

        run(work, ("inquiry",))

    def test_answer_without_length_is_incomplete_after_a_reset(self):
        async def answer_and_reset(request, connection):
            head = make_answer(request, b"").replace(b"Content-Length: 0\r\n", b"")
            connection.writer.write(head + b"half")
            await connection.writer.drain()
            await asyncio.sleep(0.05)
            connection.reset()
            return None

        async def work(world):
            world.nodes[0].target.set_behaviour(answer_and_reset)
            answer = await world.nodes[0].call("/buy/1", "id-1", "POST", b"x")
            assert answer.status == 502

        run(work, ("inquiry",))


def start_answer(request, **headers):
    """Return the head of an answer without the end of its headers."""
    head = make_answer(request, b"", **headers)
    return head.removesuffix(b"\r\n\r\n").replace(b"\r\nContent-Length: 0", b"")


def start_foreign_answer(request):
    return start_answer(request).replace(b"id-1", b"id-0")


class TestAnswerWithoutEnd:
    """A target sends bytes until its connection is closed."""

    CHUNK = b"2000\r\n" + b"x" * 0x2000 + b"\r\n"
    # More than any test needs, so that a failing one ends.
    MAX_BYTES = 64 << 20
    # Memory of the smallest node less that of its process, for each of its five slots;
    # what the socket buffers of two connections hold counts as well.
    MAX_KEPT_BYTES = 32 << 20

    def make_behaviour(self, make_start, part):
        async def send_endlessly(request, connection):
            self.sent = 0
            connection.writer.write(make_start(request))
            while self.sent < self.MAX_BYTES:
                connection.writer.write(part)
                await connection.writer.drain()
                self.sent += len(part)
            await asyncio.Event().wait()

        return send_endlessly

    @pytest.mark.parametrize(
        ("make_start", "part"),
        [
            (lambda request: b"", b"x" * 1000),
            (lambda request: b"HTTP/1.1 200 OK\r\n", 100 * b"X-Note: again\r\n"),
            (lambda request: b"", 100 * b"HTTP/1.1 102 Processing\r\n\r\n"),
            (
                lambda request: b"HTTP/1.1 200 OK\r\n\r\n",
                b"x" * 1000,
            ),
            (
                lambda request: (
                    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                ),
                CHUNK,
            ),
            (
                lambda request: (
                    start_foreign_answer(request)
                    + b"\r\nTransfer-Encoding: chunked\r\n\r\n"
                ),
                CHUNK,
            ),
            (
                lambda request: (
                    b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n"
                    b"Transfer-Encoding: chunked\r\n\r\n"
                ),
                CHUNK,
            ),
            (
                lambda request: b"",
                20 * b"HTTP/1.1 200 OK\r\nRequest-Id: id-0\r\n"
                b"Content-Length: 0\r\n\r\n",
            ),
        ],
        ids=[
            "garbage",
            "headers",
            "interim",
            "body",
            "chunks",
            "foreign",
            "refusal",
            "foreign series",
        ],
    )
    def test_call_goes_on_at_once_after_bytes_that_are_no_answer(
        self, make_start, part
    ):
        # Guards against waiting until the deadline for the end of a broken answer.
        async def work(world):
            await grow_budget(world.nodes[0], "/read/1", 60)
            node = world.nodes[0]
            node.target.set_behaviour(self.make_behaviour(make_start, part))
            before = len(node.target.requests)
            started_s = asyncio.get_running_loop().time()
            answer = await node.call("/read/1", "id-1")
            elapsed_s = asyncio.get_running_loop().time() - started_s
            assert len(node.target.requests) == before + 1
            assert (answer.status, answer.body) == (200, b"done")
            assert elapsed_s < 0.5
            assert self.sent < self.MAX_KEPT_BYTES

        run(work)

    @pytest.mark.parametrize(
        ("framing", "part"),
        [(b"", b"x" * 0x2000), (b"\r\nTransfer-Encoding: chunked", CHUNK)],
        ids=["without length", "chunks"],
    )
    def test_answer_that_its_caller_does_not_read_is_not_kept(self, framing, part):
        # Guards against an endless answer that fills the memory of the node.
        async def work(world):
            node = world.nodes[0]
            node.target.set_behaviour(
                self.make_behaviour(
                    lambda request: start_answer(request) + framing + b"\r\n\r\n", part
                )
            )
            host, _, port = node.calls_address.rpartition(":")
            _, writer = await asyncio.open_connection(host, int(port), limit=1024)
            headers = {"Host": HOST, wire.REQUEST_ID: "id-1", wire.DEADLINE_MS: "1500"}
            writer.write(format_message("GET /read/1 HTTP/1.1", headers))
            await asyncio.sleep(1.0)
            writer.close()
            assert 0 < self.sent < self.MAX_KEPT_BYTES

        run(work, ("inquiry",))

    @pytest.mark.parametrize("is_reset", [False, True])
    def test_large_answer_without_length_is_whole_only_if_its_connection_closes(
        self, is_reset
    ):
        async def answer(request, connection):
            connection.writer.write(start_answer(request) + b"\r\n\r\n")
            connection.writer.write(b"x" * (1 << 20))
            await connection.writer.drain()
            if is_reset:
                await asyncio.sleep(0.2)
                connection.reset()
            return None

        async def work(world):
            node = world.nodes[0]
            node.target.set_behaviour(answer)
            host, _, port = node.calls_address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            headers = {
                "Host": HOST,
                wire.REQUEST_ID: "id-1",
                wire.DEADLINE_MS: "1500",
                "Connection": "close",
            }
            writer.write(format_message("GET /read/1 HTTP/1.1", headers))
            data = b""
            with contextlib.suppress(ConnectionResetError):
                while chunk := await reader.read(1 << 16):
                    data += chunk
            writer.close()
            assert data.count(b"x") > 1 << 18
            assert data.endswith(b"\r\n0\r\n\r\n") is not is_reset
            assert (data.count(b"x") == 1 << 20) or is_reset

        run(work, ("inquiry",))


class TestRetries:
    def test_repeatable_call_without_an_answer_is_retried_at_another_target(self):
        async def work(world):
            await grow_budget(world.nodes[2], "/read/1", 60)
            world.nodes[0].target.set_behaviour(close_without_answer)
            # A load report may make the router prefer the other target for a second.
            for number in range(150):
                answer = await world.nodes[2].call("/read/1", f"id-{number}")
                assert answer.status == 200
                ids = [request.headers["request-id"] for request in get_arrivals(world)]
                if max(ids.count(name) for name in ids) > 1:
                    break
                await asyncio.sleep(0.01)
            assert ids.count(f"id-{number}") == 2
            assert len(ids) == len(set(ids)) + 1

        rules = [make_rule("read", "/read/", "inquiry", attempts=2)]
        run(work, ("inquiry", "inquiry", "registry"), rules=rules)

    def test_repeatable_call_with_a_5xx_answer_is_retried_at_another_target(self):
        async def work(world):
            await grow_budget(world.nodes[0], "/read/1", 60)
            world.nodes[0].target.set_behaviour(answer_500)
            answer = await world.nodes[0].call("/read/1", "id-1")
            assert answer.status == 200
            assert "id-1" in world.nodes[1].target.request_ids

        run(work)

    def test_5xx_answer_of_the_only_target_is_relayed(self):
        async def work(world):
            await grow_budget(world.nodes[0], "/read/1", 60)
            world.nodes[0].target.set_behaviour(answer_500)
            answer = await world.nodes[0].call("/read/1", "id-1")
            assert (answer.status, answer.body) == (500, b"failed")

        run(work, ("inquiry",))

    def test_non_repeatable_call_is_not_retried_after_a_5xx_answer(self):
        async def work(world):
            await grow_budget(world.nodes[0], "/read/1", 60)
            world.nodes[0].target.set_behaviour(answer_500)
            answer = await world.nodes[0].call("/buy/1", "id-1", "POST")
            assert answer.status == 500
            assert "id-1" not in world.nodes[1].target.request_ids

        run(work)

    def test_non_repeatable_call_is_not_retried_after_a_lost_connection(self):
        async def work(world):
            for node in world.nodes:
                node.target.set_behaviour(close_without_answer)
            answer = await world.nodes[0].call("/buy/1", "id-1", "POST", b"x")
            assert answer.status == 502
            assert len(get_arrivals(world)) == 1

        run(work)

    def test_call_that_was_not_executed_may_be_retried_at_another_target(self):
        async def work(world):
            await grow_budget(world.nodes[1], "/buy/1", 30, "POST", b"x")
            world.nodes[0].target.set_behaviour(answer_not_executed)
            answer = await world.nodes[0].call("/buy/1", "id-1", "POST", b"x")
            assert answer.status in (200, 503)
            if answer.status == 503:
                assert float(answer.headers["retry-after"]) > 0

        run(work)

    def test_refusal_of_a_call_that_was_not_executed_has_retry_after(self):
        async def work(world):
            world.nodes[0].target.set_behaviour(answer_not_executed)
            answer = await world.nodes[0].call("/buy/1", "id-1", "POST", b"x")
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) > 0
            assert wire.ANSWER_SEAL.lower() not in answer.headers

        run(work, ("inquiry",))

    def test_unreachable_target_fails_no_call(self):
        async def work(world):
            await world.nodes[0].target.stop()
            for number in range(5):
                answer = await world.nodes[0].call(
                    "/buy/1", f"id-{number}", "POST", b"x"
                )
                assert answer.status == 200

        run(work)

    def test_dead_node_fails_no_call(self):
        async def work(world):
            await world.nodes[1].kill()
            for number in range(5):
                answer = await world.nodes[0].call("/buy/1", f"id-{number}", "POST")
                assert answer.status == 200
            world.nodes[1].start()

        run(work)


class TestBounds:
    def test_unknown_host_or_path_gets_404(self):
        async def work(world):
            node = world.nodes[0]
            assert (await node.call("/nowhere/", "id-1")).status == 404
            assert (await node.call("/read", "id-2")).status == 404
            answer = await node.call("/read/1", "id-3", Host="other.example")
            assert answer.status == 404
            answer = await node.call("/read/1", "id-4", Host=HOST.upper() + ":80")
            assert answer.status == 200

        run(work, ("inquiry",))

    def test_call_is_answered_504_within_the_timeout_of_its_rule(self):
        async def wait(request, connection):
            await asyncio.sleep(5)

        async def work(world):
            loop = asyncio.get_running_loop()
            world.nodes[0].target.set_behaviour(wait)
            start = loop.time()
            answer = await world.nodes[0].call("/read/1", "id-1")
            assert answer.status == 504
            assert loop.time() - start < 0.7
            [request] = world.nodes[0].target.requests
            assert int(request.headers["deadline-ms"]) <= 300

        rules = [make_rule("read", "/read/", "inquiry", timeout_s=0.3)]
        run(work, ("inquiry",), rules=rules)

    def test_connection_to_the_target_closes_when_the_caller_disconnects(self):
        gone = []

        async def wait(request, connection):
            try:
                while not connection.is_ended:
                    await asyncio.sleep(0.01)
            finally:
                gone.append(request.headers["request-id"])

        async def work(world):
            for node in world.nodes:
                node.target.set_behaviour(wait)
            call = asyncio.create_task(world.nodes[0].call("/read/1", "id-1"))
            await world.wait_until(lambda: get_arrivals(world))
            call.cancel()
            await world.wait_until(lambda: gone, 0.5)

        run(work, ("registry", "inquiry"))

    def test_target_never_executes_more_calls_than_slots(self):
        executing = []
        peaks = []

        async def work_slowly(request, connection):
            executing.append(request)
            peaks.append(len(executing))
            await asyncio.sleep(0.05)
            executing.remove(request)
            return make_answer(request)

        async def work(world):
            world.nodes[0].target.set_behaviour(work_slowly)
            calls = [
                world.nodes[0].call("/read/1", f"id-{number}") for number in range(20)
            ]
            answers = await asyncio.gather(*calls)
            assert max(peaks) == 4
            assert {answer.status for answer in answers} <= {200, 503}

        run(work, ("inquiry",))


class TestLeaving:
    def test_no_call_reaches_a_target_after_its_draining_was_acknowledged(self):
        async def work(world):
            node = world.nodes[0]
            assert await node.send_heartbeat("draining") == 200
            for number in range(5):
                answer = await node.call("/read/1", f"id-{number}")
                assert answer.status == 200
            assert node.target.requests == []

        run(work)

    def test_target_that_says_in_an_answer_that_it_leaves_gets_no_more_calls(self):
        # Guards against calls to a target that leaves without a heartbeat (DRAIN).
        async def announce_leaving(request, connection):
            return make_answer(request, Server_Leaving="1")

        async def work(world):
            first, second = world.nodes
            first.target.set_behaviour(announce_leaving)
            assert (await first.call("/read/1", "id-0")).status == 200
            assert len(first.target.requests) == 1
            await asyncio.sleep(DRAIN_S)
            assert await first.send_heartbeat("ready") == 200
            for number in range(5):
                for node in world.nodes:
                    answer = await node.call(
                        "/read/1", f"{node.calls_address}-{number}"
                    )
                    assert answer.status == 200
            assert len(first.target.requests) == 1
            assert second.sidecar.count_ready_targets() == 1

        run(work)

    def test_late_heartbeat_does_not_make_a_left_target_ready(self):
        async def work(world):
            node = world.nodes[0]
            assert await node.send_heartbeat("draining", sequence=10) == 200
            assert await node.send_heartbeat("ready", sequence=9) == 200
            assert await node.send_heartbeat("ready", sequence=11) == 200
            await node.send_leave()
            assert await node.send_heartbeat("ready", sequence=12) == 200
            answer = await node.call("/read/1", "id-1")
            assert answer.status == 503
            assert await node.send_heartbeat(started_ms=STARTED_MS + 1, sequence=1)
            assert (await node.call("/read/1", "id-2")).status == 200

        run(work, ("inquiry",))

    def test_left_target_stays_left_after_a_restart_of_its_node(self):
        async def work(world):
            first, second = world.nodes
            await first.send_heartbeat("draining")
            await first.send_leave()
            await world.wait_until(lambda: second.sidecar.count_ready_targets() == 1)
            await first.kill()
            first.start()
            await world.wait_until(lambda: first.sidecar.is_ready)
            await world.wait_until(lambda: first.sidecar.count_known_targets() == 2)
            assert await first.send_heartbeat("ready") == 200
            for number in range(5):
                answer = await second.call("/read/1", f"id-{number}")
                assert answer.status == 200
            assert first.target.requests == []

        run(work)

    def test_left_and_ready_targets_are_restored_after_all_nodes_are_killed(self):
        async def work(world):
            first, second = world.nodes
            await first.send_heartbeat("draining")
            await first.send_leave()
            await world.wait_until(lambda: world.count_rows_with_left_target() == 1)
            await first.kill()
            await second.kill()
            first.start()
            second.start()
            await world.wait_until(lambda: second.sidecar.count_ready_targets() == 1)
            await world.wait_until(lambda: second.sidecar.count_known_targets() == 2)
            await world.wait_until(lambda: second.sidecar.is_ready)
            assert await first.send_heartbeat("ready") == 200
            for number in range(5):
                answer = await second.call("/read/1", f"id-{number}")
                assert answer.status == 200
            assert first.target.requests == []

        run(work)

    @pytest.mark.parametrize(
        "changes",
        [
            {"service": None},
            {"capacity": "4"},
            {"state": "lost"},
            {"sequence": None},
            {"born": 1.5},
            {"address": "10.0.0.1:1"},
        ],
    )
    def test_invalid_or_foreign_heartbeat_changes_nothing(self, changes):
        async def work(world):
            node = world.nodes[0]
            assert await node.send_heartbeat(**changes) == 400
            assert (await node.call("/read/1", "id-1")).status == 200

        run(work, ("inquiry",))

    def test_stopping_node_answers_accepted_calls(self):
        async def work_slowly(request, connection):
            await asyncio.sleep(0.5)
            return make_answer(request)

        async def work(world):
            for node in world.nodes:
                node.target.set_behaviour(work_slowly)
            first = world.nodes[0]
            call = asyncio.create_task(first.call("/buy/1", "id-1", "POST"))
            await world.wait_until(lambda: get_arrivals(world))
            stopped = first.request_stop()
            await asyncio.sleep(0.05)
            assert not await first.is_ready()
            late = await first.call("/read/1", "id-2")
            assert late.status == 200
            assert late.headers["connection"] == "close"
            assert (await call).status == 200
            await stopped

        run(work)


def get_largest_count(times_s, window_s):
    """Return the largest number of the given times within any window."""
    return max(
        sum(start_s <= time_s < start_s + window_s for time_s in times_s)
        for start_s in times_s
    )


class TestRateLimit:
    """One of three targets names a limit of six calls a second in its answers."""

    PER_S = 6.0
    WINDOW_S = 4.0
    # Calls in a window that the target tolerates.
    ALLOWED = 1.5 * PER_S * WINDOW_S + 5
    SETTLE_S = 0.5

    def test_target_gets_no_more_calls_than_its_rate_limit_allows(self):
        # Guards against a target getting more calls than the limit it names (LIMIT).
        arrivals_s = []

        async def name_limit(request, connection):
            arrivals_s.append(asyncio.get_running_loop().time())
            return make_answer(request, Server_Limit=str(self.PER_S))

        async def work(world):
            world.nodes[0].target.set_behaviour(name_limit)
            loop = asyncio.get_running_loop()
            started_s = loop.time()
            answers = []
            while loop.time() < started_s + self.SETTLE_S + self.WINDOW_S:
                node = world.nodes[len(answers) % 3]
                answers.append(await node.call("/read/1", f"id-{len(answers)}"))
                await asyncio.sleep(0.008)
            assert {answer.status for answer in answers} == {200}
            late_s = [at for at in arrivals_s if at >= started_s + self.SETTLE_S]
            assert 0 < get_largest_count(late_s, self.WINDOW_S) <= self.ALLOWED

        run(work, ("inquiry", "inquiry", "inquiry"))


class TestCatalogue:
    def test_calls_use_a_new_version_at_once(self):
        async def work(world):
            assert (await world.nodes[0].call("/more/1", "id-1")).status == 404
            rules = [*RULES, make_rule("more", "/more/", "registry")]
            world.write_catalogue(5, rules)
            await world.wait_until(lambda: world.nodes[0].sidecar.version == 5)
            answer = await world.nodes[0].call("/more/1", "id-2")
            assert answer.status == 200
            assert world.nodes[1].target.request_ids == ["id-2"]

        run(work, ("inquiry", "registry"))

    def test_older_version_never_comes_into_force(self):
        async def work(world):
            world.write_catalogue(5, RULES)
            await world.wait_until(lambda: world.nodes[0].sidecar.version == 5)
            world.write_catalogue(4, [])
            world.write_catalogue(6, RULES)
            await world.wait_until(lambda: world.nodes[0].sidecar.version == 6)
            world.write_catalogue(2, [])
            await asyncio.sleep(0.1)
            assert world.nodes[0].sidecar.version == 6

        run(work, ("inquiry",))

    @pytest.mark.parametrize(
        "data",
        [
            b"not a catalogue",
            b'{"version":"r9"}',
            b'{"version":"r9","routes":{"columns":[],"rows":[[1]]},"services":{}}',
        ],
    )
    def test_malformed_version_changes_nothing(self, data):
        async def work(world):
            world.write_operator_row(data)
            await asyncio.sleep(0.1)
            assert (await world.nodes[0].call("/read/1", "id-1")).status == 200
            world.write_catalogue(10, RULES)
            await world.wait_until(lambda: world.nodes[0].sidecar.version == 10)

        run(work, ("inquiry",))

    def test_versions_reach_nodes_that_do_not_read_the_table(self):
        async def work(world):
            sidecars = [node.sidecar for node in world.nodes]
            await world.wait_until(lambda: sum(s.is_reading for s in sidecars) == 2)
            # Operators in a hurry send versions in quick succession.
            for version in range(2, 12):
                world.write_catalogue(version, RULES)
                await asyncio.sleep(0.02)
            await world.wait_until(lambda: all(s.version == 11 for s in sidecars), 2.0)
            assert sum(s.is_reading for s in sidecars) == 2

        run(work, ("inquiry",) * 5)

    def test_other_nodes_read_the_table_after_the_readers_died(self):
        async def work(world):
            sidecars = [node.sidecar for node in world.nodes]
            await world.wait_until(lambda: sum(s.is_reading for s in sidecars) == 2)
            readers = [n for n in world.nodes if n.sidecar.is_reading]
            others = [n for n in world.nodes if n not in readers]
            for node in readers:
                await node.kill()
            world.write_catalogue(2, RULES)
            await world.wait_until(
                lambda: all(n.sidecar.version == 2 for n in others), 2.0
            )

        run(work, ("inquiry",) * 5)

    def test_table_is_read_again_after_its_change_history_is_lost(self):
        async def work(world):
            await asyncio.sleep(0.05)
            world.write_catalogue(7, RULES)
            world.tables.compact_history()
            await world.wait_until(lambda: world.nodes[0].sidecar.version == 7)

        run(work, ("inquiry",))

    def test_restarted_node_gets_the_version_from_a_peer_while_the_platform_is_down(
        self,
    ):
        async def work(world):
            first = world.nodes[0]
            await first.kill()
            world.platform_faults.faults = type(world.platform_faults.faults)(down=True)
            first.start()
            await asyncio.sleep(0.05)
            assert (await first.call("/read/1", "id-1")).status == 503
            await world.wait_until(lambda: first.sidecar.version == 1)
            assert (await first.call("/read/1", "id-2")).status == 200

        run(work, ("registry", "inquiry"))
