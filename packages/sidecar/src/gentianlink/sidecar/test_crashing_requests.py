import asyncio
import collections

import attrs
import pytest
import structlog
from tornado.httputil import HTTPHeaders

from gentianlink.node.proxy.call import Call
from gentianlink.platform import wire
from gentianlink.sidecar import node_rows
from gentianlink.sidecar.call_fingerprint import summarize_call
from gentianlink.sidecar.quarantine_codec import KEY_PREFIX
from gentianlink.testing.faults import Faults
from gentianlink.testing.scripted_target import make_answer
from gentianlink.testing.sidecar_world import HOST, STARTED_MS, SidecarWorld

CRASHING_PATH = "/read/crashes?page=1"
POPULAR_PATH = "/read/popular"
RESTART_S = 0.2
RUN_S = 0.02
# The platform allows this number of further sendings of a request that has crashed
# three targets, and this time until the nodes must know.
MAX_CRASHES = 3
MAX_FURTHER = 3
KNOWN_AFTER_S = 3.0
FURTHER_CALLS = 12
STREAMED_BYTES = 700 * 1024


def count_crashes(node):
    line = 'gentianlink_target_crashes_total{service="inquiry"} '
    _, _, rest = node.sidecar._render_metrics().decode().partition(line)
    return int(float(rest.split()[0])) if rest else 0


def make_call():
    headers = HTTPHeaders({"Host": HOST, wire.CALLING_SERVICE: "inquiry"})
    return Call("GET", POPULAR_PATH, headers, b"", 0.0)


def make_summary_of_call():
    return summarize_call(make_call())


class Crashes:
    """Targets of a world that crash when they execute a certain request."""

    def __init__(self, world):
        self._world = world
        self._starts = 0
        self._restarts = set()
        self.count = 0
        for node in world.nodes:
            node.target.set_behaviour(self._make_behaviour(node))

    def _make_behaviour(self, node):
        async def behave(request, connection):
            if CRASHING_PATH not in request.first_line or request.body == b"harmless":
                await asyncio.sleep(RUN_S)
                return make_answer(request)
            self.count += 1
            await asyncio.sleep(RUN_S)
            node.target.crash()
            self._restarts.add(asyncio.create_task(self._restart(node)))
            return None

        return behave

    async def _restart(self, node):
        await asyncio.sleep(RESTART_S)
        self._starts += 1
        await node.target.start()
        await node.send_heartbeat(started_ms=STARTED_MS + self._starts)

    async def wait_for_restarts(self):
        await asyncio.gather(*self._restarts)


async def send_again(world, number, **request):
    """Send the crashing request under another id at the next node."""
    node = world.nodes[number % len(world.nodes)]
    return await node.call(CRASHING_PATH, f"crash-{number}", **request)


async def crash_targets(world, crashes, **request):
    number = 0
    while crashes.count < MAX_CRASHES:
        await send_again(world, number, **request)
        await crashes.wait_for_restarts()
        number += 1


async def count_further(world, crashes, **request):
    """Send the request many more times and return how often a target received it."""
    before = crashes.count
    for number in range(FURTHER_CALLS):
        await send_again(world, 100 + number, **request)
        await crashes.wait_for_restarts()
    return crashes.count - before


def get_quarantined(world):
    return [node.sidecar._guard.quarantined for node in world.nodes]


def get_quarantine_keys(world):
    rows = world.tables.read_range(wire.NODES_TABLE, "", "", 500)
    return [key for key, _, _ in rows if key.startswith(KEY_PREFIX)]


def count_due_rows(world):
    rows = [node.sidecar._rows._quarantine_rows for node in world.nodes]
    return sum(len(item.due) for item in rows)


def run(work):
    async def run_world():
        async with SidecarWorld(["inquiry"] * 4, ["a", "a", "b", "b"]) as world:
            crashes = Crashes(world)
            await work(world, crashes)
            await crashes.wait_for_restarts()

    asyncio.run(run_world())


class TestCrashingRequest:
    # Guards against sending on and on a request that crashes each target that runs it.
    @pytest.mark.parametrize(
        "request_parts",
        [
            {},
            {"method": "POST", "body": b"x" * 300},
            {"method": "POST", "body": b"x" * STREAMED_BYTES},
        ],
        ids=["read", "body", "streamed-body"],
    )
    def test_request_that_crashed_three_targets_is_hardly_sent_again(
        self, request_parts
    ):
        async def work(world, crashes):
            await crash_targets(world, crashes, **request_parts)
            await asyncio.sleep(KNOWN_AFTER_S)
            assert await count_further(world, crashes, **request_parts) <= MAX_FURTHER

        run(work)

    def test_refusal_is_a_promise_without_a_time_to_come_back(self):
        async def work(world, crashes):
            await crash_targets(world, crashes)
            await world.wait_until(lambda: all(get_quarantined(world)))
            answer = await send_again(world, 100)
            assert answer.status == 503
            assert answer.body == b"crashes-targets"
            assert "retry-after" not in answer.headers

        run(work)

    def test_log_leads_from_a_refused_call_to_the_crashes(self):
        async def work(world, crashes):
            await crash_targets(world, crashes)
            await world.wait_until(lambda: all(get_quarantined(world)))
            await send_again(world, 100)

        with structlog.testing.capture_logs() as lines:
            run(work)
        by_event = collections.defaultdict(list)
        for line in lines:
            by_event[line["event"]].append(line)
        [refused] = by_event["quarantined call not sent"]
        assert refused["id"] == "crash-100"
        quarantined = by_event["request quarantined"][0]
        assert quarantined["content"] == refused["content"]
        in_flight = by_event["in flight at a crash"]
        targets = {name for name, _ in quarantined["crashes"]}
        assert {line["target"] for line in in_flight} == targets
        for line in in_flight:
            assert line["fingerprint"].startswith(refused["content"])
            assert line["path"] == "/read/crashes"

    def test_same_path_with_another_body_is_served(self):
        async def work(world, crashes):
            await crash_targets(world, crashes, method="POST", body=b"bad")
            await world.wait_until(lambda: all(get_quarantined(world)))
            for number in range(100, 108):
                answer = await send_again(
                    world, number, method="POST", body=b"harmless"
                )
                assert answer.status == 200

        run(work)


class TestCallsInFlightAtACrash:
    # Guards against refusing a popular request because it was in flight at each crash.
    def test_request_that_many_callers_make_stays_served(self):
        async def work(world, crashes):
            refused = []

            async def call_popular(number):
                while len(refused) < 1000:
                    node = world.nodes[number % len(world.nodes)]
                    answer = await node.call(POPULAR_PATH, f"popular-{number}")
                    refused.append(answer.body == b"crashes-targets")
                    number += 100

            callers = [asyncio.create_task(call_popular(item)) for item in range(8)]
            await asyncio.sleep(0.2)
            await crash_targets(world, crashes)
            await count_further(world, crashes)
            for caller in callers:
                caller.cancel()
            assert get_quarantined(world) == [1] * len(world.nodes)
            assert refused and not any(refused)
            answer = await world.nodes[0].call(POPULAR_PATH, "last")
            assert answer.status == 200

        run(work)


class TestUnstableTarget:
    # Guards against refusing a popular request for good because one target crashes
    # again and again, though the others complete it (RECOVER).
    def test_popular_request_stays_served(self):
        async def work_long(request, connection):
            await asyncio.sleep(1.0)
            return make_answer(request)

        async def work(world, crashes):
            for node in world.nodes:
                node.target.set_behaviour(work_long)
            answers = []

            async def call_popular(number):
                while True:
                    node = world.nodes[number % len(world.nodes)]
                    answers.append(await node.call(POPULAR_PATH, f"popular-{number}"))
                    number += 100

            callers = [asyncio.create_task(call_popular(item)) for item in range(12)]
            await asyncio.sleep(0.2)
            unstable = world.nodes[0]
            start = 0
            while count_crashes(unstable) < 4 and not any(get_quarantined(world)):
                await asyncio.sleep(0.8)
                unstable.target.crash()
                await asyncio.sleep(0.3)
                start += 1
                await unstable.target.start()
                await unstable.send_heartbeat(started_ms=STARTED_MS + start)
            assert get_quarantined(world) == [0] * len(world.nodes)
            assert not any(answer.body == b"crashes-targets" for answer in answers)
            for caller in callers:
                caller.cancel()

        run(work)

    # Guards against a wrong quarantine that lasts until an operator ends it.
    def test_request_that_is_completed_passes_again(self):
        async def work(world, crashes):
            unstable, other, *_ = world.nodes
            call = make_summary_of_call()
            info = unstable.sidecar._local_target.info
            for start in range(3):
                crashed = attrs.evolve(info, started_ms=STARTED_MS + 10 + start)
                unstable.sidecar._guard.note_crash(crashed, [call])
            await world.wait_until(lambda: all(get_quarantined(world)))
            await world.wait_until(lambda: not count_due_rows(world))
            assert get_quarantine_keys(world)
            other.sidecar._guard.note_completed(make_call())
            await world.wait_until(lambda: not any(get_quarantined(world)))
            await world.wait_until(lambda: not get_quarantine_keys(world))

        run(work)


class TestQuarantineLasts:
    async def quarantine(self, world, crashes):
        await crash_targets(world, crashes)
        await world.wait_until(lambda: all(get_quarantined(world)))
        # Each node that has reported a crash writes the row.
        await world.wait_until(lambda: not count_due_rows(world))
        assert get_quarantine_keys(world)

    def test_nodes_that_were_all_killed_at_once_know_the_request(self):
        async def work(world, crashes):
            await self.quarantine(world, crashes)
            for node in world.nodes:
                await node.kill()
            for node in world.nodes:
                node.start()
            await world.wait_until(lambda: all(n.sidecar.is_ready for n in world.nodes))
            await world.wait_until(lambda: all(get_quarantined(world)))
            assert await count_further(world, crashes) == 0

        run(work)

    def test_restarted_node_learns_of_the_request_while_the_platform_is_away(self):
        async def work(world, crashes):
            await self.quarantine(world, crashes)
            node = world.nodes[0]
            await node.kill()
            world.platform_faults.faults = Faults(down=True)
            node.start()
            await world.wait_until(lambda: all(get_quarantined(world)))
            assert await count_further(world, crashes) == 0

        run(work)

    def test_operator_lifts_a_quarantine_by_removing_its_row(self, monkeypatch):
        async def work(world, crashes):
            await self.quarantine(world, crashes)
            [key] = get_quarantine_keys(world)
            world.tables.transact([], [], [(wire.NODES_TABLE, key)])
            await world.wait_until(lambda: not any(get_quarantined(world)))
            assert await count_further(world, crashes) > 0

        monkeypatch.setattr(node_rows, "CHECK_PERIOD_S", 0.3)
        run(work)
