"""Targets that announce that they leave, while nodes and the platform fail."""

import asyncio

import pytest

from gentianlink.core.heartbeat import Heartbeat
from gentianlink.core.target_state import TargetState
from gentianlink.sidecar.departures import Departures, is_departed
from gentianlink.sidecar.local_target import CONFIRM_MS, LocalTarget
from gentianlink.sidecar.target_info import TargetInfo
from gentianlink.testing.faults import Faults
from gentianlink.testing.raw_http import exchange
from gentianlink.testing.scripted_target import make_answer
from gentianlink.testing.sidecar_world import SLOTS, STARTED_MS, SidecarWorld

SERVICE = "inquiry"
ADDRESS = "10.0.0.1:1"
WALL_MS = 50_000
# A target gets no calls that are sent this long after it said that it leaves.
DRAIN_S = 2.0
# Rules with a time bound hold from this time after the end of a fault on.
STABLE_S = 3.0
FORMER = TargetInfo("i-1", SERVICE, 4, TargetState.READY, 1000, 7)


def make_heartbeat(target_id="i-1", started_ms=1000, sequence=8, is_draining=False):
    return Heartbeat(
        target_id=target_id,
        service=SERVICE,
        address=ADDRESS,
        slots=4,
        is_draining=is_draining,
        cold_ms=0.0,
        started_ms=started_ms,
        sequence=sequence,
    )


class Recorder:
    """Target of a node that has just started, and the states that it publishes."""

    def __init__(self, now_ms=0.0):
        self.published = []
        self.target = LocalTarget(
            ADDRESS, self._publish, lambda info, calls: None, SERVICE, now_ms
        )

    def _publish(self):
        self.published.append(self.target.info)


class TestUnknownTarget:
    # Guards against forgetting a departure that was announced to a new process (DRAIN).
    @pytest.mark.parametrize("started_ms", [None, 1000])
    def test_departure_holds_against_the_state_before(self, started_ms):
        recorder = Recorder()
        target = recorder.target
        target.handle_leave("i-1", started_ms, WALL_MS)
        assert [info.state for info in recorder.published] == [TargetState.LEFT]
        target.restore(FORMER, 1.0)
        target.handle_heartbeat(make_heartbeat(), 2.0, WALL_MS)
        assert not target.is_ready
        assert target.info.state is TargetState.LEFT

    # Guards against the same once the process that knew of it has ended.
    @pytest.mark.parametrize("is_former_first", [False, True])
    def test_departure_holds_in_the_next_process(self, is_former_first):
        recorder = Recorder()
        recorder.target.handle_leave("i-1", None, WALL_MS)
        [departed] = recorder.published
        assert is_departed(departed)
        states = [FORMER, departed] if is_former_first else [departed, FORMER]
        following = Recorder().target
        for info in states:
            following.restore(info, 1.0)
        following.handle_heartbeat(make_heartbeat(), 2.0, WALL_MS)
        assert not following.is_ready

    def test_departure_of_another_name_does_not_close_the_target(self):
        target = Recorder().target
        target.handle_leave("i-9", None, WALL_MS)
        target.handle_heartbeat(make_heartbeat(), 1.0, WALL_MS)
        assert target.is_ready
        target.handle_leave("i-9", None, WALL_MS)
        assert target.is_ready

    def test_late_heartbeat_of_a_departed_name_does_not_open_it(self):
        target = Recorder().target
        target.handle_heartbeat(make_heartbeat("i-0", 500), 0.0, WALL_MS)
        target.handle_leave("i-1", None, WALL_MS)
        target.handle_heartbeat(make_heartbeat(), 1.0, WALL_MS)
        assert not target.is_ready

    def test_later_start_under_the_same_name_is_used(self):
        target = Recorder().target
        target.handle_leave("i-1", None, WALL_MS)
        later = make_heartbeat(started_ms=WALL_MS + 1, sequence=1)
        target.handle_heartbeat(later, 1.0, WALL_MS)
        assert target.is_ready


class TestOtherStart:
    # Guards against acknowledging an announcement that is not applied (DRAIN).
    def test_announcement_of_an_earlier_start_leaves_the_target_open(self):
        target = Recorder().target
        target.handle_heartbeat(make_heartbeat(started_ms=2000), 0.0, WALL_MS)
        target.handle_leave("i-1", 1000, WALL_MS)
        late = make_heartbeat(started_ms=1000, is_draining=True)
        target.handle_heartbeat(late, 0.0, WALL_MS)
        assert target.takes_calls("i-1")

    def test_draining_holds_also_if_its_message_is_late(self):
        target = Recorder().target
        target.handle_heartbeat(make_heartbeat(sequence=9), 0.0, WALL_MS)
        late = make_heartbeat(sequence=8, is_draining=True)
        target.handle_heartbeat(late, 0.0, WALL_MS)
        assert not target.takes_calls("i-1")


class TestUnconfirmedTarget:
    # Guards against calls to a target that has left, after all nodes were killed before
    # its departure was stored (DRAIN).
    def test_target_that_sends_no_heartbeat_gets_no_calls_for_long(self):
        target = Recorder().target
        target.restore(FORMER, 100.0)
        assert target.is_ready
        target.check_confirmed(CONFIRM_MS)
        assert not target.is_ready
        target.handle_heartbeat(make_heartbeat(), CONFIRM_MS + 1, WALL_MS)
        assert target.is_ready
        assert target.gate.get_load().in_flight == 0

    def test_target_restored_late_waits_for_its_heartbeat(self):
        target = Recorder().target
        target.restore(FORMER, CONFIRM_MS)
        assert not target.is_ready

    def test_heartbeat_confirms_the_target(self):
        target = Recorder().target
        target.restore(FORMER, 100.0)
        target.handle_heartbeat(make_heartbeat(), 200.0, WALL_MS)
        target.check_confirmed(10 * CONFIRM_MS)
        assert target.is_ready

    def test_former_state_does_not_open_it_again(self):
        target = Recorder().target
        target.restore(FORMER, CONFIRM_MS)
        target.restore(FORMER, CONFIRM_MS + 1)
        assert not target.is_ready


class TestDepartures:
    def test_memory_is_bounded(self):
        departures = Departures()
        for number in range(1000):
            departures.note(f"i-{number}", number)
        assert departures.has_left("i-999", 999)
        assert not departures.has_left("i-999", 1000)
        assert not departures.has_left("i-0", 0)


def run(work, services=("inquiry", "inquiry", "registry")):
    async def run_world():
        async with SidecarWorld(services) as world:
            await work(world)

    asyncio.run(run_world())


async def leave(node):
    """Announce that a node's target leaves until that is acknowledged."""
    while True:
        try:
            if await node.send_leave() == 200:
                return
        except OSError:
            pass
        await asyncio.sleep(0.05)


async def count_calls_at(world, node):
    """Return how many of the calls sent from now on reach the target of a node."""
    before = len(node.target.requests)
    for other in world.nodes:
        other.target.set_behaviour(work_briefly)
    # More calls at once than one target has slots.
    await asyncio.gather(
        *(world.nodes[-1].call("/read/1", f"late-{n}") for n in range(2 * SLOTS))
    )
    return len(node.target.requests) - before


async def work_briefly(request, connection):
    await asyncio.sleep(0.1)
    return make_answer(request)


class TestAcknowledgement:
    # Guards against forgetting what a process has acknowledged right after its start.
    def test_new_process_keeps_a_departure_while_the_platform_is_down(self):
        async def work(world):
            node = world.nodes[0]
            world.platform_faults.faults = Faults(down=True)
            await node.kill()
            node.start()
            await leave(node)
            await asyncio.sleep(DRAIN_S)
            assert await count_calls_at(world, node) == 0
            world.platform_faults.faults = Faults()
            await world.wait_until(lambda: world.count_rows_with_left_target() == 1)
            assert await count_calls_at(world, node) == 0

        run(work)

    def test_departure_lasts_after_a_kill_while_the_platform_is_down(self):
        async def work(world):
            node = world.nodes[0]
            world.platform_faults.faults = Faults(down=True)
            await leave(node)
            await node.kill()
            node.start()
            await asyncio.sleep(DRAIN_S)
            assert await count_calls_at(world, node) == 0

        run(work)

    # Guards against acknowledging before anything has the departure that outlives all
    # nodes: once they are back it lasts at most until the target is not confirmed.
    def test_target_gets_no_calls_after_all_nodes_were_killed(self):
        async def work(world):
            world.platform_faults.faults = Faults(down=True)
            await leave(world.nodes[0])
            await asyncio.gather(*(node.kill() for node in world.nodes))
            # What is under way between the nodes is lost with them.
            await asyncio.sleep(0.5)
            for node in world.nodes:
                node.start()
            await asyncio.sleep(0.5)
            for node in world.nodes[1:]:
                await node.send_heartbeat()
            world.platform_faults.faults = Faults()
            await world.wait_until(lambda: all(n.sidecar.is_ready for n in world.nodes))
            await asyncio.sleep(STABLE_S)
            assert await count_calls_at(world, world.nodes[0]) == 0

        run(work)

    def test_departure_that_nothing_keeps_is_not_acknowledged(self):
        async def work(world):
            [node] = world.nodes
            world.platform_faults.faults = Faults(down=True)
            assert await node.send_leave() == 503
            assert await node.send_heartbeat("draining") == 503
            assert (await node.call("/read/1", "id-1")).status == 503
            world.platform_faults.faults = Faults()
            async with asyncio.timeout(5.0):
                await leave(node)
            assert world.count_rows_with_left_target() == 1
            assert node.target.requests == []

        run(work, ("inquiry",))

    def test_ambiguous_announcement_is_not_acknowledged(self):
        async def work(world):
            node = world.nodes[0]
            assert await node.send_heartbeat(started_ms=STARTED_MS + 9) == 200
            status = await node.send_heartbeat("draining", started_ms=STARTED_MS)
            assert status == 409
            line = f"DELETE /api/instances/{node.target.target_id} HTTP/1.1"
            body = b'{"born": %d}' % STARTED_MS
            address = node.sidecar._settings.listen.control
            answer = await exchange(address, line, {"Host": "control"}, body)
            assert answer.status == 409
            assert (await node.call("/read/1", "id-1")).status == 200

        run(work)
