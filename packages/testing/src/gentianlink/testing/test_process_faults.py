"""Tests of promises under faults of real processes: three nodes, three data centres."""

import asyncio
import contextlib
import pathlib
import random
import signal

import pytest

from gentianlink.node.background import start_task
from gentianlink.node.clock import get_now_ms
from gentianlink.testing.checks.check_executions import (
    check_answers,
    check_at_most_once,
    check_not_run,
)
from gentianlink.testing.checks.check_stops import check_no_cut, check_no_new_work
from gentianlink.testing.checks.check_versions import (
    check_convergence,
    check_never_back,
    check_whole_versions,
)
from gentianlink.testing.checks.stop_record import StopRecord
from gentianlink.testing.demo import CATALOGUE, get_status, has_version, wait_for
from gentianlink.testing.execution_log import read_executions
from gentianlink.testing.faults import Faults
from gentianlink.testing.fleet import Fleet
from gentianlink.testing.soak.load import send_call
from gentianlink.testing.soak.observations import Observations
from gentianlink.testing.soak.observer import observe_node
from gentianlink.testing.soak.operator import Operator
from gentianlink.testing.soak.platform_faults import set_faults

SLOTS = 4
WORK_MS = 400.0
CONVERGENCE_BOUND_MS = 4000
NO_NEW_WORK_BOUND_MS = 3000
SERVICE = "inquiry"
PATH = "/inquiry/balance"
MEMBERS = 3


class Deployment:
    """Three nodes with a target each, and the observations of them."""

    def __init__(self):
        self.fleet = Fleet("kingston")
        self.fleet.start_platform()
        for number in range(1, MEMBERS + 1):
            member = self.fleet.add_member(SERVICE, number, number)
            self.fleet.start_node(member)
            self.fleet.start_target(member, SLOTS, WORK_MS)
        text = pathlib.Path(CATALOGUE).read_text()
        self.operator = Operator("ann", self.fleet, text, random.Random(1))
        self.observations = Observations()
        self.members = self.fleet.members
        self.node_ids = [member.node_id for member in self.members]

    async def start(self):
        await wait_for(self.members, lambda status: status["ready"])
        await self.operator.change_once()
        await wait_for(
            self.members, lambda status: status["endpoints"].get(PATH) == MEMBERS
        )

    @contextlib.asynccontextmanager
    async def observe(self):
        tasks = [
            start_task(observe_node(member, self.observations), "observer")
            for member in self.members
        ]
        try:
            yield
        finally:
            for task in tasks:
                task.cancel()

    async def change(self):
        count = len(self.operator.accepted)
        await self.operator.change_once()
        assert len(self.operator.accepted) == count + 1
        return self.operator.accepted[-1]

    async def wait_in_force(self, change, members=None):
        await wait_for(members or self.members, has_version(change.version))

    async def call(self, member, name):
        record = await send_call(member, PATH, "", name)
        self.observations.calls.append(record)
        return record

    async def assert_promises(self, change=None, node_ids=()):
        observations = self.observations
        changes = await self.operator.read_changes()
        paths = [self.fleet.get_execution_log_path(item) for item in self.members]
        executions = read_executions([path for path in paths if path.exists()])
        stops = observations.target_stops + observations.node_stops
        violations = [
            *check_never_back(observations.versions),
            *check_whole_versions(observations.versions, changes),
            *check_answers(observations.calls, executions),
            *check_not_run(observations.calls, executions),
            *check_at_most_once(executions, ()),
            *check_no_new_work(
                executions, observations.target_stops, NO_NEW_WORK_BOUND_MS
            ),
            *check_no_cut(observations.calls, executions, stops),
        ]
        if change is not None:
            violations += check_convergence(
                observations.versions, change, node_ids, CONVERGENCE_BOUND_MS
            )
        assert violations == []


@pytest.fixture
def deployment():
    deployment = Deployment()
    yield deployment
    deployment.fleet.stop()


async def run_kill_and_restart(deployment):
    await deployment.start()
    victim, *others = deployment.members
    async with deployment.observe():
        await deployment.wait_in_force(await deployment.change())
        victim.node.kill()
        change = await deployment.change()
        await deployment.wait_in_force(change, others)
        await asyncio.to_thread(victim.node.wait)
        deployment.fleet.start_node(victim)
        await deployment.wait_in_force(change)
        await asyncio.sleep(0.5)
    await deployment.assert_promises(change, [item.node_id for item in others])


async def run_restart_without_platform(deployment):
    await deployment.start()
    victim, *others = deployment.members
    async with deployment.observe():
        change = await deployment.change()
        await deployment.wait_in_force(change)
        await set_faults(deployment.fleet, "table", Faults(down=True))
        await set_faults(deployment.fleet, "objects", Faults(down=True))
        victim.node.kill()
        await asyncio.to_thread(victim.node.wait)
        deployment.fleet.start_node(victim)
        await deployment.wait_in_force(change)
        statuses = [await get_status(member) for member in others]
        assert [status["version"] for status in statuses] == [change.version] * 2
        await set_faults(deployment.fleet, "table")
        await set_faults(deployment.fleet, "objects")
        await wait_for(deployment.members, lambda status: status["ready"])
        await asyncio.sleep(0.5)
    await deployment.assert_promises()


async def run_objects_down_after_acceptance(deployment):
    await deployment.start()
    async with deployment.observe():
        change = await deployment.change()
        await asyncio.sleep(0.4)
        await set_faults(deployment.fleet, "objects", Faults(down=True))
        await deployment.wait_in_force(change)
        await asyncio.sleep(0.3)
    await deployment.assert_promises(change, deployment.node_ids)


async def run_freeze(deployment):
    await deployment.start()
    victim, *others = deployment.members
    async with deployment.observe():
        victim.node.send_signal(signal.SIGSTOP)
        change = await deployment.change()
        await deployment.wait_in_force(change, others)
        await asyncio.sleep(1.0)
        victim.node.send_signal(signal.SIGCONT)
        await deployment.wait_in_force(change)
        await asyncio.sleep(0.3)
    await deployment.assert_promises(change, [item.node_id for item in others])


async def run_target_stop(deployment, begin_fault=None, end_fault=None):
    await deployment.start()
    stopped = deployment.members[0]
    calls = []
    for number in range(12):
        member = deployment.members[number % MEMBERS]
        work = deployment.call(member, f"before-{number}")
        calls.append(asyncio.ensure_future(work))
    await asyncio.sleep(0.2)
    if begin_fault is not None:
        await begin_fault()
    asked_ms = get_now_ms()
    stopped.target.send_signal(signal.SIGTERM)
    if end_fault is not None:
        await asyncio.sleep(0.5)
        await end_fault()
    await asyncio.gather(*calls)
    for number in range(6):
        await deployment.call(deployment.members[number % MEMBERS], f"after-{number}")
    await asyncio.to_thread(stopped.target.wait)
    name = f"target-{stopped.node_id}"
    stop = StopRecord(name, asked_ms, get_now_ms())
    deployment.observations.target_stops.append(stop)
    await deployment.assert_promises()


def assert_all_done(deployment, frozen=None):
    """Check that every call was done, except those that a frozen node delayed."""
    paths = [deployment.fleet.get_execution_log_path(m) for m in deployment.members]
    executed_on = {item.request_id: item.target_id for item in read_executions(paths)}
    for record in deployment.observations.calls:
        is_delayed = frozen is not None and (
            record.node_id == frozen.node_id
            or executed_on.get(record.request_id) == f"target-{frozen.node_id}"
        )
        assert record.outcome == "done" or is_delayed, record


async def run_target_stop_without_table(deployment):
    async def fail():
        await set_faults(deployment.fleet, "table", Faults(down=True))

    async def recover():
        await set_faults(deployment.fleet, "table")

    await run_target_stop(deployment, fail, recover)
    assert_all_done(deployment)


async def run_target_stop_while_a_node_is_frozen(deployment):
    frozen = deployment.members[1]

    async def freeze():
        frozen.node.send_signal(signal.SIGSTOP)

    async def resume():
        frozen.node.send_signal(signal.SIGCONT)

    await run_target_stop(deployment, freeze, resume)
    assert_all_done(deployment, frozen)


async def run_node_stop(deployment):
    await deployment.start()
    stopped, *others = deployment.members
    calls = [
        asyncio.ensure_future(deployment.call(others[number % 2], f"call-{number}"))
        for number in range(12)
    ]
    await asyncio.sleep(0.2)
    await set_faults(deployment.fleet, "table", Faults(down=True))
    asked_ms = get_now_ms()
    stopped.node.send_signal(signal.SIGTERM)
    await asyncio.gather(*calls)
    assert await asyncio.to_thread(stopped.node.wait) == 0
    stop = StopRecord(stopped.node_id, asked_ms, get_now_ms())
    deployment.observations.node_stops.append(stop)
    await set_faults(deployment.fleet, "table")
    await deployment.assert_promises()
    assert_all_done(deployment)


class TestProcessFaults:
    @pytest.mark.proves("never-back", "kill", "restart")
    @pytest.mark.proves("in-force", "kill", "spread")
    @pytest.mark.proves("all-or-none", "kill", "apply")
    def test_node_killed_during_a_change(self, deployment):
        asyncio.run(run_kill_and_restart(deployment))

    @pytest.mark.proves("never-back", "table-down", "restart")
    @pytest.mark.proves("never-back", "objects-down", "restart")
    def test_node_restarted_while_the_platform_is_down(self, deployment):
        asyncio.run(run_restart_without_platform(deployment))

    @pytest.mark.proves("in-force", "objects-down", "spread")
    def test_object_store_down_after_acceptance(self, deployment):
        asyncio.run(run_objects_down_after_acceptance(deployment))

    @pytest.mark.proves("in-force", "freeze", "spread")
    @pytest.mark.proves("never-back", "freeze", "apply")
    def test_node_frozen_during_a_change(self, deployment):
        asyncio.run(run_freeze(deployment))

    @pytest.mark.proves("no-cut", "none", "drain")
    @pytest.mark.proves("no-new-work", "none", "drain")
    @pytest.mark.proves("own-answer", "none", "drain")
    def test_target_stopped_with_calls_in_flight(self, deployment):
        asyncio.run(run_target_stop(deployment))
        assert_all_done(deployment)

    @pytest.mark.proves("no-cut", "table-down", "drain")
    @pytest.mark.proves("no-new-work", "table-down", "drain")
    @pytest.mark.proves("own-answer", "table-down", "drain")
    def test_target_stopped_while_the_table_is_down(self, deployment):
        asyncio.run(run_target_stop_without_table(deployment))

    @pytest.mark.proves("no-cut", "freeze", "drain")
    @pytest.mark.proves("no-new-work", "freeze", "drain")
    @pytest.mark.proves("own-answer", "freeze", "drain")
    def test_target_stopped_while_another_node_is_frozen(self, deployment):
        asyncio.run(run_target_stop_while_a_node_is_frozen(deployment))

    @pytest.mark.proves("no-cut", "table-down", "stop")
    def test_node_stopped_with_forwarded_calls_while_the_table_is_down(
        self, deployment
    ):
        asyncio.run(run_node_stop(deployment))
