import asyncio

import pytest

from gentianlink.core.outcome import Outcome
from gentianlink.core.reason import Reason
from gentianlink.node.proxy.refusal import Refusal
from gentianlink.platform import wire
from gentianlink.sidecar.hop import HOP_HEADER, format_result
from gentianlink.sidecar.target_load import TargetLoad
from gentianlink.testing.raw_http import format_message
from gentianlink.testing.scripted_target import (
    ScriptedTarget,
    make_answer,
    make_not_executed,
)
from gentianlink.testing.sidecar_world import SidecarWorld

# Delay in seconds of the second message: with the first one, while the connection is
# idle, and while the next call is executed on it.
DELAYS_S = (0.0, 0.005, 0.05, 0.11, 0.2, 0.35)
WORK_S = 0.15
PAIRS = 6
LOAD = TargetLoad(0, 0, 0.0)


class Twice:
    """Refuses each other call, and writes the refusal once more after a while.

    Parameters
    ----------
    make_refusal : callable
        Takes a request and returns the bytes of its refusal.
    delay_s : float
        Time in seconds from the refusal to its copy.
    **headers : str
        Headers of the answers to the other calls.
    """

    def __init__(self, make_refusal, delay_s, **headers):
        self._make_refusal = make_refusal
        self._delay_s = delay_s
        self._headers = headers
        self.executed_ids = []

    async def __call__(self, request, connection):
        """Answer one call."""
        request_id = request.headers[wire.REQUEST_ID.lower()]
        if request_id.startswith("refused"):
            refusal = self._make_refusal(request)
            if not self._delay_s:
                return refusal + refusal
            asyncio.get_running_loop().call_later(
                self._delay_s, self._write, connection.writer, refusal
            )
            return refusal
        self.executed_ids.append(request_id)
        await asyncio.sleep(WORK_S)
        return make_answer(request, request_id.encode(), **self._headers)

    def _write(self, writer, data):
        if not writer.is_closing():
            writer.write(data)


async def check_pairs(node, behaviour):
    """Send calls in turn of which each other one is refused, and check the others."""
    for number in range(PAIRS):
        await node.call("/buy/1", f"refused-{number}", "POST", b"x")
        for name in (f"first-{number}", f"second-{number}"):
            answer = await node.call("/buy/1", name, "POST", b"x")
            assert (answer.status, answer.body) == (200, name.encode())
    assert len(behaviour.executed_ids) == 2 * PAIRS


class TestTargetThatRefusesTwice:
    # Guards against telling a caller that a call was not run, or sending it to another
    # target, because of the second copy of a refusal of an earlier call.
    @pytest.mark.parametrize("delay_s", DELAYS_S)
    def test_copy_does_not_answer_a_later_call(self, delay_s):
        async def run_world():
            async with SidecarWorld(["inquiry"]) as world:
                behaviour = Twice(make_not_executed, delay_s)
                world.nodes[0].target.set_behaviour(behaviour)
                await check_pairs(world.nodes[0], behaviour)

        asyncio.run(run_world())

    # Guards against the same with the other statuses of refusals.
    @pytest.mark.parametrize("status", ["429 Busy", "421 Other", "503 Busy"])
    def test_copy_with_another_status_does_not_answer_a_later_call(self, status):
        def make_refusal(request):
            return format_message(f"HTTP/1.1 {status}", {wire.NOT_EXECUTED: "1"})

        async def run_world():
            async with SidecarWorld(["inquiry"]) as world:
                behaviour = Twice(make_refusal, 0.05)
                world.nodes[0].target.set_behaviour(behaviour)
                # A target that answers 421 is left alone for a while.
                pause_s = 0.45 if status.startswith("421") else 0.0
                for number in range(PAIRS):
                    node = world.nodes[0]
                    await node.call("/buy/1", f"refused-{number}", "POST", b"x")
                    await asyncio.sleep(pause_s)
                    answer = await node.call("/buy/1", f"run-{number}", "POST", b"x")
                    assert answer.status == 200

        asyncio.run(run_world())


class TestNodeThatRefusesTwice:
    # Guards against the same between nodes: a refusal of one call must not be taken for
    # that of the next call on the connection.
    @pytest.mark.parametrize("delay_s", DELAYS_S)
    @pytest.mark.parametrize("has_id", [False, True])
    def test_copy_does_not_answer_a_later_call(self, delay_s, has_id):
        def make_refusal(request):
            refusal = Refusal(Reason.OVERLOADED, Outcome.NOT_RUN, 50)
            headers = {HOP_HEADER: format_result(refusal, LOAD, 1)}
            if has_id:
                headers[wire.REQUEST_ID] = request.headers[wire.REQUEST_ID.lower()]
            return format_message("HTTP/1.1 503 Service Unavailable", headers)

        async def run_world():
            async with SidecarWorld(["registry", "inquiry"]) as world:
                node = world.nodes[1]
                address = node.sidecar._directory.own.forward_address
                await node.kill()
                behaviour = Twice(
                    make_refusal, delay_s, **{HOP_HEADER: format_result(None, LOAD, 1)}
                )
                other = ScriptedTarget("node", "inquiry", address)
                other.set_behaviour(behaviour)
                await other.start()
                await check_pairs(world.nodes[0], behaviour)
                await other.stop()

        asyncio.run(run_world())
