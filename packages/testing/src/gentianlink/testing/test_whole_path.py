import asyncio

import pytest

from gentianlink.testing.demo import (
    CATALOGUE,
    apply_catalogue,
    has_version,
    send_calls,
    wait_for,
)
from gentianlink.testing.fleet import Fleet


@pytest.fixture
def fleet():
    fleet = Fleet("kingston")
    fleet.start_platform()
    for number, service in enumerate(("inquiry", "redemption", "registry"), 1):
        member = fleet.add_member(service, 1, number)
        fleet.start_node(member)
        fleet.start_target(member, slots=10, work_ms=1)
    yield fleet
    fleet.stop()


class TestWholePath:
    @pytest.mark.proves("in-force", "none", "accept")
    @pytest.mark.proves("own-answer", "none", "answer")
    def test_calls_follow_an_accepted_change(self, fleet):
        async def run():
            await wait_for(fleet.members, lambda status: status["ready"])
            output = apply_catalogue(fleet, CATALOGUE, "test")
            assert output.startswith("accepted version 1 at ")
            await wait_for(fleet.members, has_version(1))
            await wait_for(
                fleet.members,
                lambda status: list(status["endpoints"].values()) == [1, 1, 1],
            )
            return await send_calls(fleet, 9)

        outcomes = asyncio.run(run())
        assert outcomes == {
            ("/inquiry/balance", "done"): 3,
            ("/redemption/redeem", "done"): 3,
            ("/registry/purchase", "done"): 3,
        }
