import asyncio

from gentianlink.core.errors import PlatformUnavailable
from gentianlink.node.claims.claim_counts import ClaimCounts
from gentianlink.node.claims.settler import MAX_TRIES, Settler


async def skip_delay(seconds):
    await asyncio.sleep(0)


def run_settler(failures):
    tries = []
    successes = []
    counts = ClaimCounts()

    async def write():
        tries.append(None)
        if len(tries) <= failures:
            raise PlatformUnavailable("down")

    async def run():
        settler = Settler(1, counts, lambda: successes.append(1), skip_delay)
        settler.start(write)
        is_full = settler.is_full
        await settler.wait_idle(1000)
        return is_full, settler.pending

    assert asyncio.run(run()) == (True, 0)
    assert len(successes) == (failures < MAX_TRIES)
    return len(tries), counts.get_all()


class TestSettler:
    def test_write_is_retried_until_it_succeeds(self):
        assert run_settler(2) == (3, {"settle-retried": 2})

    def test_tries_are_bounded(self):
        expected = {"settle-retried": MAX_TRIES, "settle-dropped": 1}
        assert run_settler(MAX_TRIES + 5) == (MAX_TRIES, expected)

    def test_wait_idle_times_out(self):
        async def run():
            settler = Settler(1, ClaimCounts(), print)
            settler.start(asyncio.Event().wait)
            await settler.wait_idle(1)
            return settler.pending

        assert asyncio.run(run()) == 1
