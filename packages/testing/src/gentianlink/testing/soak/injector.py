"""Inject one fault after another, in an order given by a random seed."""

import asyncio
import signal

from gentianlink.node.clock import get_now_ms
from gentianlink.testing.checks.stop_record import StopRecord
from gentianlink.testing.faults import Faults
from gentianlink.testing.soak.platform_faults import set_faults

PAUSE_S = 1.5
RESTART_S = 1.0
FREEZE_S = 3.0
OUTAGE_S = 4.0
WORK_MS = 5.0


class Injector:
    """Injects faults into one deployment.

    Parameters
    ----------
    deployment : Deployment
        The deployment.
    fleet : Fleet
        Processes of the deployment.
    observations : Observations
        Receives the faults, outages and stops.
    rng : random.Random
        Source of randomness.
    """

    def __init__(self, deployment, fleet, observations, rng):
        self._deployment = deployment
        self._fleet = fleet
        self._observations = observations
        self._rng = rng
        self._actions = (
            self._kill_node,
            self._kill_target,
            self._kill_third,
            self._freeze_node,
            self._freeze_target,
            self._stop_target,
            self._stop_node,
            self._table_down,
            self._objects_down,
            self._lose_answers,
            self._slow_table,
            self._kill_node_while_table_down,
        )

    async def run(self, until_ms):
        """Inject faults until a point in time.

        Parameters
        ----------
        until_ms : int
            End in milliseconds since the epoch.
        """
        while get_now_ms() < until_ms:
            action = self._rng.choice(self._actions)
            member = self._rng.choice(self._fleet.members)
            started_ms = get_now_ms()
            name = action.__name__.strip("_")
            self._observations.faults.append((started_ms, name, member.node_id))
            await action(member)
            self._observations.outages.append((started_ms, get_now_ms()))
            await asyncio.sleep(PAUSE_S)

    def _start_target(self, member):
        self._fleet.start_target(member, self._deployment.slots, WORK_MS)

    async def _kill_node(self, member):
        member.node.kill()
        await asyncio.to_thread(member.node.wait)
        await asyncio.sleep(RESTART_S)
        self._fleet.start_node(member)

    async def _kill_target(self, member):
        member.target.kill()
        await asyncio.to_thread(member.target.wait)
        await asyncio.sleep(RESTART_S)
        self._start_target(member)

    async def _kill_third(self, member):
        members = self._rng.sample(self._fleet.members, len(self._fleet.members) // 3)
        for victim in members:
            victim.node.kill()
            victim.target.kill()
        for victim in members:
            await asyncio.to_thread(victim.node.wait)
            await asyncio.to_thread(victim.target.wait)
        await asyncio.sleep(RESTART_S)
        for victim in members:
            self._fleet.start_node(victim)
            self._start_target(victim)

    async def _freeze_node(self, member):
        await self._freeze(member.node)

    async def _freeze_target(self, member):
        await self._freeze(member.target)

    async def _freeze(self, process):
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(FREEZE_S)
        process.send_signal(signal.SIGCONT)

    async def _stop_target(self, member):
        record = await self._stop(member.target, f"target-{member.node_id}")
        self._observations.target_stops.append(record)
        self._start_target(member)

    async def _stop_node(self, member):
        record = await self._stop(member.node, member.node_id)
        self._observations.node_stops.append(record)
        self._fleet.start_node(member)

    async def _stop(self, process, name):
        asked_ms = get_now_ms()
        process.send_signal(signal.SIGTERM)
        await asyncio.to_thread(process.wait)
        return StopRecord(name, asked_ms, get_now_ms())

    async def _table_down(self, member):
        await self._inject_platform_fault("table", Faults(down=True))

    async def _objects_down(self, member):
        await self._inject_platform_fault("objects", Faults(down=True))

    async def _lose_answers(self, member):
        await self._inject_platform_fault("table", Faults(lose_answers=True))

    async def _slow_table(self, member):
        await self._inject_platform_fault("table", Faults(delay_ms=400))

    async def _inject_platform_fault(self, service, faults):
        await set_faults(self._fleet, service, faults)
        await asyncio.sleep(OUTAGE_S)
        await set_faults(self._fleet, service)

    async def _kill_node_while_table_down(self, member):
        await set_faults(self._fleet, "table", Faults(down=True))
        await self._kill_node(member)
        await asyncio.sleep(OUTAGE_S)
        await set_faults(self._fleet, "table")
