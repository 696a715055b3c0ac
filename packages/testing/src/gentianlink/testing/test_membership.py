"""Tests of membership with real processes: three nodes in three data centres."""

import asyncio

import pytest

from gentianlink.testing.demo import CATALOGUE, apply_catalogue, has_version, wait_for
from gentianlink.testing.fleet import Fleet

SERVICE = "inquiry"
ROUTE = "/inquiry/balance"
MEMBERS = 3
DRAIN_BOUND_S = 3
DETECTION_BOUND_S = 15


@pytest.fixture
def fleet():
    fleet = Fleet("kingston")
    fleet.start_platform()
    for number in range(1, MEMBERS + 1):
        member = fleet.add_member(SERVICE, number, number)
        fleet.start_node(member)
        fleet.start_target(member, slots=10, work_ms=1)
    yield fleet
    fleet.stop()


def has_endpoints(nodes, endpoints):
    return lambda status: (
        status["nodes"] == nodes and status["endpoints"].get(ROUTE) == endpoints
    )


async def start(fleet):
    await wait_for(fleet.members, lambda status: status["ready"])
    apply_catalogue(fleet, CATALOGUE, "test")
    await wait_for(fleet.members, has_version(1))
    await wait_for(fleet.members, has_endpoints(MEMBERS, MEMBERS))


class TestMembershipOfProcesses:
    @pytest.mark.proves("no-dangling-route", "kill", "route")
    @pytest.mark.proves("no-dangling-route", "kill", "restart")
    def test_killed_node_is_removed_from_routes_until_its_restart(self, fleet):
        async def run():
            await start(fleet)
            victim, *others = fleet.members
            victim.node.kill()
            victim.node.wait()
            without_victim = has_endpoints(MEMBERS - 1, MEMBERS - 1)
            await wait_for(others, without_victim, DETECTION_BOUND_S)
            fleet.start_node(victim)
            return await wait_for(fleet.members, has_endpoints(MEMBERS, MEMBERS))

        statuses = asyncio.run(run())
        assert len({status["records_digest"] for status in statuses}) == 1

    @pytest.mark.proves("no-new-work", "none", "announce")
    @pytest.mark.proves("no-new-work", "none", "spread")
    def test_draining_target_is_removed_from_routes_of_all_nodes(self, fleet):
        async def run():
            await start(fleet)
            fleet.members[0].target.terminate()
            without_target = has_endpoints(MEMBERS, MEMBERS - 1)
            await wait_for(fleet.members, without_target, DRAIN_BOUND_S)

        asyncio.run(run())
