import asyncio

from gentianlink.testing.scripted_target import make_answer
from gentianlink.testing.sidecar_world import STARTED_MS, SidecarWorld

CRASHING_PATH = "/read/crashes?page=1"
RESTART_S = 0.2
# The platform allows this number of further sendings of a request that has crashed
# three targets, and this time until the nodes must know.
MAX_CRASHES = 3
MAX_FURTHER = 3
KNOWN_AFTER_S = 3.0
FURTHER_CALLS = 12


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
            if CRASHING_PATH not in request.first_line:
                await asyncio.sleep(0.05)
                return make_answer(request)
            self.count += 1
            await asyncio.sleep(0.02)
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


async def send_again(world, number):
    """Send the crashing request under another id at the next node."""
    node = world.nodes[number % len(world.nodes)]
    return await node.call(CRASHING_PATH, f"crash-{number}")


async def crash_targets(world, crashes):
    number = 0
    while crashes.count < MAX_CRASHES:
        await send_again(world, number)
        await crashes.wait_for_restarts()
        number += 1


async def count_further(world, crashes):
    """Send the request many more times and return how often a target received it."""
    before = crashes.count
    for number in range(FURTHER_CALLS):
        await send_again(world, 100 + number)
        await crashes.wait_for_restarts()
    return crashes.count - before


def run(work):
    async def run_world():
        async with SidecarWorld(["inquiry"] * 4, ["a", "a", "b", "b"]) as world:
            crashes = Crashes(world)
            await work(world, crashes)
            await crashes.wait_for_restarts()

    asyncio.run(run_world())


class TestCrashingRequest:
    # Guards against sending on and on a request that crashes each target that runs it.
    def test_request_that_crashed_three_targets_is_hardly_sent_again(self):
        async def work(world, crashes):
            await crash_targets(world, crashes)
            await asyncio.sleep(KNOWN_AFTER_S)
            assert await count_further(world, crashes) <= MAX_FURTHER

        run(work)
