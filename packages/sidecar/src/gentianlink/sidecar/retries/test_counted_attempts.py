import asyncio

import pytest

from gentianlink.testing.raw_http import format_message
from gentianlink.testing.sidecar_world import SidecarWorld


async def answer_other_target(request, connection):
    """Target behaviour: another target has the address, and executes nothing."""
    return format_message("HTTP/1.1 421 Misdirected Request", {})


class TestAddressOfAnotherTarget:
    # Guards against sending calls on without the retry budget after a target has
    # refused them because it is not the one that was meant.
    @pytest.mark.parametrize("path", ["/read/1", "/buy/1"])
    def test_attempt_after_it_is_a_repeat(self, path):
        async def run_world():
            async with SidecarWorld(["inquiry"] * 4) as world:
                for node in world.nodes:
                    node.target.set_behaviour(answer_other_target)
                # The budget of processes that have just started has no repeat.
                answer = await world.nodes[0].call(path, "id-1", "POST", b"x")
                assert answer.status == 503
                assert sum(len(node.target.requests) for node in world.nodes) == 1

        asyncio.run(run_world())
