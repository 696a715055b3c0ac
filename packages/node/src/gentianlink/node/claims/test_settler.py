import asyncio

from gentianlink.core.errors import PlatformUnavailable
from gentianlink.node.claims.claim_counts import ClaimCounts
from gentianlink.node.claims.settler import MAX_TRIES, Settler


async def sleep_never(seconds):
    await asyncio.sleep(0)


def settle(failures):
    tries = []
    successes = []
    counts = ClaimCounts()

    async def step():
        tries.append(None)
        if len(tries) <= failures:
            raise PlatformUnavailable("down")

    async def run():
        settler = Settler(1, counts, lambda: successes.append(1), sleep_never)
        settler.start(step)
        is_full = settler.is_full
        await settler.wait_idle(1000)
        return is_full, settler.pending

    assert asyncio.run(run()) == (True, 0)
    assert len(successes) == (failures < MAX_TRIES)
    return len(tries), counts.get_all()


class TestSettler:
    def test_step_is_retried_until_it_succeeds(self):
        assert settle(2) == (3, {"settle-retried": 2})

    def test_tries_are_bounded(self):
        expected = {"settle-retried": MAX_TRIES, "settle-dropped": 1}
        assert settle(MAX_TRIES + 5) == (MAX_TRIES, expected)

    def test_wait_is_bounded(self):
        async def run():
            settler = Settler(1, ClaimCounts(), print)
            settler.start(asyncio.Event().wait)
            await settler.wait_idle(1)
            return settler.pending

        assert asyncio.run(run()) == 1
