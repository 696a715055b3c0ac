import asyncio
import json

import pytest
from tornado.httpclient import AsyncHTTPClient

from gentianlink.core.codec import encode
from gentianlink.testing.demo import CATALOGUE, apply_catalogue, get_status, wait_for
from gentianlink.testing.faults import Faults
from gentianlink.testing.fleet import Fleet, wait_or_kill

OUTAGE_S = 1.5


@pytest.fixture
def fleet():
    fleet = Fleet("kingston")
    fleet.start_platform()
    for number in (1, 2, 3):
        fleet.start_node(fleet.add_member("inquiry", number, number))
    yield fleet
    fleet.stop()


async def fetch_convergence(member, version):
    url = f"{member.admin_url}/v1/convergence?version={version}"
    response = await AsyncHTTPClient().fetch(url)
    return json.loads(response.body)


async def wait_complete(member, version):
    for _ in range(200):
        state = await fetch_convergence(member, version)
        if state["complete"] and state["nodes"] == 3:
            return state
        await asyncio.sleep(0.05)
    raise TimeoutError(str(state))


async def set_table_faults(fleet, faults):
    url = f"{fleet.platform_url}/faults/table"
    await AsyncHTTPClient().fetch(url, method="PUT", body=encode(faults))


def restart(fleet, member):
    member.node.kill()
    wait_or_kill(member.node)
    fleet.start_node(member)


class TestDistribution:
    @pytest.mark.proves("never-back", "table-down", "restart")
    @pytest.mark.proves("in-force", "table-down", "restart")
    @pytest.mark.proves("in-force", "kill", "restart")
    def test_convergence_and_restart_during_an_outage(self, fleet):
        async def run():
            first, second, third = fleet.members
            await wait_for(fleet.members, lambda status: status["ready"])
            apply_catalogue(fleet, CATALOGUE, "test")
            assert await wait_complete(first, 1) == {
                "version": 1,
                "nodes": 3,
                "in_force": 3,
                "behind": [],
                "complete": True,
                "data_centres": {
                    "kingston-1": {"nodes": 1, "in_force": 1},
                    "kingston-2": {"nodes": 1, "in_force": 1},
                    "kingston-3": {"nodes": 1, "in_force": 1},
                },
            }
            state = await fetch_convergence(second, 2)
            assert state["behind"] == ["inquiry-1", "inquiry-2", "inquiry-3"]
            await set_table_faults(fleet, Faults(down=True))
            restart(fleet, third)
            await wait_for([third], lambda status: not status["ready"])
            await asyncio.sleep(OUTAGE_S)
            statuses = [await get_status(member) for member in fleet.members]
            assert [status["ready"] for status in statuses] == [True, True, False]
            await set_table_faults(fleet, Faults())
            await wait_for(fleet.members, lambda status: status["ready"])
            await wait_complete(second, 1)

        asyncio.run(run())
