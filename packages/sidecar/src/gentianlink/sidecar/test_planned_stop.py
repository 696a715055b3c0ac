import asyncio

import pytest

from gentianlink.platform import wire
from gentianlink.sidecar.hop import HOP_HEADER, format_hop, parse_result
from gentianlink.testing.raw_http import exchange, format_message, read_message
from gentianlink.testing.scripted_target import make_answer
from gentianlink.testing.sidecar_world import DEADLINE_MS, HOST, SidecarWorld

# Grace period of the settings of the test nodes.
GRACE_S = 2.0
SEND_PERIOD_S = 0.06
CUT = "cut"


def make_work(work_s):
    async def work(request, connection):
        await asyncio.sleep(work_s)
        return make_answer(request)

    return work


def format_call(path, request_id):
    headers = {
        "Host": HOST,
        wire.REQUEST_ID: request_id,
        wire.DEADLINE_MS: str(DEADLINE_MS),
    }
    return format_message(f"POST {path} HTTP/1.1", headers)


async def send(connection, path, ids):
    """Send calls ahead on an open connection; return the status of each, or CUT."""
    reader, writer = connection
    results = dict.fromkeys(ids, CUT)
    try:
        for request_id in ids:
            writer.write(format_call(path, request_id))
        for request_id in ids:
            results[request_id] = (await read_message(reader)).status
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    finally:
        writer.close()
    return results


async def send_until_stopped(node, stopped, path, ahead):
    """Send calls on connections that were open before, until the process has ended."""
    host, _, port = node.calls_address.rpartition(":")
    connections = [
        await asyncio.open_connection(host, int(port))
        for _ in range(int(GRACE_S / SEND_PERIOD_S))
    ]
    task = stopped()
    calls = []
    for number, connection in enumerate(connections):
        ids = [f"{number}-{place}" for place in range(ahead)]
        calls.append(asyncio.create_task(send(connection, path, ids)))
        await asyncio.sleep(SEND_PERIOD_S)
    results = {}
    for call in calls:
        results |= await call
    await task
    return results


def get_arrived_ids(world):
    return {item for node in world.nodes for item in node.target.request_ids}


class TestCallsOfAStop:
    # Guards against taking a call so late in the grace period that it is cut off
    # without an answer at its end.
    @pytest.mark.parametrize("work_s", [0.3, 1.4])
    @pytest.mark.parametrize(
        ("path", "ahead"), [("/buy/1", 1), ("/buy/1", 3), ("/read/1", 3)]
    )
    @pytest.mark.parametrize("other", ["inquiry", "registry"])
    def test_no_call_that_was_passed_on_is_cut_off(self, work_s, path, ahead, other):
        async def run_world():
            async with SidecarWorld([other, "inquiry"]) as world:
                for node in world.nodes:
                    node.target.set_behaviour(make_work(work_s))
                first = world.nodes[0]
                results = await send_until_stopped(
                    first, first.request_stop, path, ahead
                )
                arrived = get_arrived_ids(world)
                assert [item for item in arrived if results[item] == CUT] == []
                refused = {item for item, status in results.items() if status == 503}
                assert not refused & arrived

        asyncio.run(run_world())

    # Guards against the same where all nodes that a call passes stop together.
    @pytest.mark.parametrize("path", ["/buy/1", "/read/1"])
    def test_no_call_is_cut_off_if_all_its_nodes_stop(self, path):
        async def run_world():
            async with SidecarWorld(["registry", "inquiry"]) as world:
                world.nodes[1].target.set_behaviour(make_work(0.9))

                def stop_all():
                    return asyncio.gather(*(n.request_stop() for n in world.nodes))

                results = await send_until_stopped(world.nodes[0], stop_all, path, 1)
                arrived = get_arrived_ids(world)
                assert [item for item in arrived if results[item] == CUT] == []

        asyncio.run(run_world())

    # Guards against refusing calls from the beginning of a stop, while callers do not
    # know of it yet.
    def test_call_that_fits_into_the_grace_period_is_served(self):
        async def run_world():
            async with SidecarWorld(["inquiry", "inquiry"]) as world:
                first = world.nodes[0]
                stopped = first.request_stop()
                await asyncio.sleep(0.3)
                assert (await first.call("/read/1", "id-1")).status == 200
                await stopped

        asyncio.run(run_world())


class TestForwardedCallsOfAStop:
    # Guards against passing on a call of another node, which could send it elsewhere,
    # that can't end within the grace period.
    @pytest.mark.parametrize("is_repeatable", [True, False])
    def test_call_that_does_not_fit_is_refused_as_not_run(self, is_repeatable):
        async def run_world():
            async with SidecarWorld(["inquiry"]) as world:
                node = world.nodes[0]
                record = node.sidecar._directory.own
                hop = node.make_hop(1900.0, is_repeatable)
                headers = {
                    "Host": HOST,
                    wire.REQUEST_ID: "id-1",
                    wire.DEADLINE_MS: str(DEADLINE_MS),
                    HOP_HEADER: format_hop(hop),
                }
                stopped = node.request_stop()
                await asyncio.sleep(0.5)
                answer = await exchange(
                    record.forward_address, "POST /read/1 HTTP/1.1", headers
                )
                refusal, _, _ = parse_result(answer.headers[HOP_HEADER.lower()])
                assert refusal.reason.value == "draining"
                assert node.target.requests == []
                await stopped

        asyncio.run(run_world())
