import asyncio

import pytest

from gentianlink.core.outcome import Outcome
from gentianlink.core.reason import Reason
from gentianlink.node.claims.claim_state import ClaimState
from gentianlink.node.claims.claim_table import ClaimTable
from gentianlink.node.claims.errors import ClaimNotMade
from gentianlink.node.claims.group_writer import GroupWriter
from gentianlink.node.claims.held_claim import HeldClaim
from gentianlink.node.claims.retention import get_claim_key
from gentianlink.node.proxy.request_body import RequestBody
from gentianlink.testing.claims.checks import check_all
from gentianlink.testing.claims.schedule import RandomSchedule, Schedule, explore
from gentianlink.testing.claims.world import ClaimWorld

MAX_SCHEDULES = 60_000
DAY_MS = 24 * 3_600_000
TIMED_KEY = "00000000-0000-7000-8000-000000000000"


def make_group_writer(table, sleep):
    return GroupWriter(table, 8, 1, sleep)


async def run_calls(nodes, schedule, faults, **options):
    world = ClaimWorld(schedule, faults, **options)
    for node_id in nodes:
        world.submit(node_id)
    await world.run_to_end()
    world.end_faults()
    repeat = world.submit("healthy")
    await world.run_to_end()
    await world.stop()
    return world, repeat


async def find_problems(nodes, faults, **options):
    problems = []

    async def run(schedule):
        world, repeat = await run_calls(nodes, schedule, faults, **options)
        for problem in check_all(world, repeat):
            problems.append((problem, schedule.choices))

    runs = await explore(run, MAX_SCHEDULES)
    print(f"{runs} schedules of {nodes} with {faults} faults")
    return problems


async def find_random_problems(nodes, faults, seeds, **options):
    problems = []
    for seed in seeds:
        schedule = RandomSchedule(seed)
        world, repeat = await run_calls(nodes, schedule, faults, **options)
        problems.extend((problem, seed) for problem in check_all(world, repeat))
    return problems


class UnfencedClaimTable(ClaimTable):
    """Injected defect: a claim whose answer was lost counts as not made."""

    async def resolve(self, key, claim, base_revision):
        raise ClaimNotMade(key)


class OptimisticClaimTable(ClaimTable):
    """Injected defect: a claim whose answer was lost counts as made."""

    async def resolve(self, key, claim, base_revision):
        return HeldClaim(key, claim, base_revision)


class TakeoverClaimTable(ClaimTable):
    """Injected defect: the claim of another attempt is taken over."""

    async def acquire(self, key, claim):
        result = await super().acquire(key, claim)
        if isinstance(result, HeldClaim) or result.claim.state is ClaimState.DONE:
            return result
        return HeldClaim(key, claim, 0)


class UnknownAsReleasedClaimTable(ClaimTable):
    """Injected defect: the key of work whose outcome is unknown is released."""

    async def write_result(self, held, state, answer=None):
        if state is ClaimState.UNKNOWN:
            state = ClaimState.RELEASED
        await super().write_result(held, state, answer)


class DuplicateRowGroupWriter(GroupWriter):
    """Injected defect: a batch contains two writes of one row."""

    def _take_batch(self):
        batch = {number: put for number, put in enumerate(self._queue)}
        self._queue = []
        return batch


class TestAtMostOnce:
    @pytest.mark.proves("at-most-once", "kill", "claim")
    @pytest.mark.proves("at-most-once", "kill", "dispatch")
    @pytest.mark.proves("at-most-once", "kill", "answer")
    @pytest.mark.proves("at-most-once", "freeze", "claim")
    @pytest.mark.proves("at-most-once", "freeze", "dispatch")
    @pytest.mark.proves("at-most-once", "freeze", "answer")
    @pytest.mark.proves("at-most-once", "reordered", "claim")
    @pytest.mark.proves("at-most-once", "reordered", "dispatch")
    @pytest.mark.proves("at-most-once", "reordered", "answer")
    @pytest.mark.proves("at-most-once", "answer-lost", "claim")
    @pytest.mark.proves("at-most-once", "answer-lost", "dispatch")
    @pytest.mark.proves("at-most-once", "answer-lost", "answer")
    @pytest.mark.proves("at-most-once", "race", "claim")
    @pytest.mark.proves("at-most-once", "race", "dispatch")
    @pytest.mark.proves("at-most-once", "table-down", "answer")
    @pytest.mark.proves("at-most-once", "lease-lapse", "claim")
    @pytest.mark.proves("at-most-once", "lease-lapse", "dispatch")
    @pytest.mark.proves("not-run", "kill", "claim")
    @pytest.mark.proves("not-run", "freeze", "claim")
    @pytest.mark.proves("not-run", "reordered", "claim")
    @pytest.mark.proves("not-run", "answer-lost", "claim")
    @pytest.mark.proves("not-run", "race", "claim")
    @pytest.mark.proves("not-run", "table-down", "claim")
    @pytest.mark.proves("not-run", "lease-lapse", "claim")
    @pytest.mark.proves("not-run", "answer-lost", "dispatch")
    @pytest.mark.proves("not-run", "table-down", "dispatch")
    @pytest.mark.parametrize(
        ("nodes", "faults", "make_writer"),
        [
            (["a"], 3, None),
            (["a"], 2, make_group_writer),
            (["a", "b"], 2, None),
            (["a", "b"], 1, make_group_writer),
            (["a", "a"], 1, make_group_writer),
            (["a", "b", "c"], 0, None),
        ],
    )
    def test_every_fault_at_every_step(self, nodes, faults, make_writer):
        work = find_problems(nodes, faults, make_writer=make_writer)
        assert asyncio.run(work) == []

    @pytest.mark.parametrize("make_writer", [None, make_group_writer])
    def test_many_faults_at_random_steps(self, make_writer):
        nodes = ["a", "b", "b", "c"]
        work = find_random_problems(nodes, 5, range(400), make_writer=make_writer)
        assert asyncio.run(work) == []

    @pytest.mark.parametrize(
        ("nodes", "claim_table_class", "problem"),
        [
            (
                ["a"],
                UnfencedClaimTable,
                "all were answered not-run and the repeat is Reason.KEY_IN_PROGRESS",
            ),
            (["a", "b"], OptimisticClaimTable, "key k executed 2 times"),
            (["a", "b"], TakeoverClaimTable, "key k executed 2 times"),
            (["a", "b"], UnknownAsReleasedClaimTable, "key k executed 2 times"),
        ],
    )
    def test_injected_defects_are_detected(self, nodes, claim_table_class, problem):
        work = find_problems(nodes, 1, claim_table_class=claim_table_class)
        assert problem in {message for message, _ in asyncio.run(work)}

    def test_injected_defect_in_batches_is_detected(self):
        def make_writer(table, sleep):
            return DuplicateRowGroupWriter(table, 8, 1, sleep)

        work = find_problems(["a", "a"], 0, make_writer=make_writer)
        problems = {message for message, _ in asyncio.run(work)}
        assert problems == {"key k executed 2 times"}

    @pytest.mark.proves("own-answer", "none", "answer")
    def test_repeat_gets_recorded_answer(self):
        world, repeat = asyncio.run(run_calls(["a"], Schedule([]), 0))
        assert [item.is_replay for item in world.submissions] == [False, True]
        assert repeat.answer == b"answer to k b"
        assert len(world.executions) == 1

    @pytest.mark.proves("at-most-once", "bad-input", "claim")
    def test_same_key_with_another_body_is_refused(self):
        async def run():
            world = ClaimWorld(Schedule([]), 0)
            world.submit("a", body=b"1")
            await world.run_to_end()
            other = world.submit("b", body=b"2")
            await world.run_to_end()
            return other, len(world.executions)

        other, executions = asyncio.run(run())
        assert other.reason is Reason.KEY_REUSED
        assert other.outcome is Outcome.NOT_RUN
        assert executions == 1

    def test_large_answer_is_not_kept(self):
        async def run():
            world = ClaimWorld(Schedule([]), 0)
            world.submit("a", body=b"x" * 2000)
            await world.run_to_end()
            repeat = world.submit("b", body=b"x" * 2000)
            await world.run_to_end()
            return repeat

        repeat = asyncio.run(run())
        assert repeat.reason is Reason.ANSWER_NOT_KEPT
        assert repeat.outcome is Outcome.DONE

    def test_deadline_passes_during_claim(self):
        async def run():
            world = ClaimWorld(Schedule([]), 0)
            late = world.submit("a", deadline_ms=10)
            while late.outcome is None:
                await asyncio.sleep(0.005)
            executions = len(world.executions)
            await world.run_to_end()
            repeat = world.submit("b")
            await world.run_to_end()
            return late, executions, repeat, world

        late, executions, repeat, world = asyncio.run(run())
        assert late.outcome is Outcome.UNKNOWN
        assert late.reason is Reason.STORE_UNAVAILABLE
        assert executions == 0
        assert repeat.outcome is Outcome.DONE
        assert world.executions == [repeat]

    def test_passed_deadline_is_refused_without_a_claim(self):
        async def run():
            world = ClaimWorld(Schedule([]), 0)
            late = world.submit("a", deadline_ms=-1)
            await world.run_to_end()
            return late, world.table.writes

        late, writes = asyncio.run(run())
        assert late.outcome is Outcome.NOT_RUN
        assert late.reason is Reason.DEADLINE_PASSED
        assert writes == 0

    def test_expired_key_is_refused(self):
        async def run():
            world = ClaimWorld(Schedule([]), 0)
            world.now_ms = DAY_MS + 1
            old = world.submit("a", TIMED_KEY)
            await world.run_to_end()
            return old, world

        old, world = asyncio.run(run())
        assert (old.reason, old.outcome) == (Reason.KEY_EXPIRED, Outcome.UNKNOWN)
        assert world.executions == []
        assert world.table.writes == 0

    def test_repeat_paused_until_row_removal_is_not_executed(self):
        async def run():
            world = ClaimWorld(Schedule([]), 0)
            world.submit("a", TIMED_KEY)
            await world.run_to_end()
            paused = world.submit("b", TIMED_KEY)
            await asyncio.sleep(0)
            world.now_ms = 2 * DAY_MS + 1
            world.table.transact([], [], [get_claim_key(TIMED_KEY)])
            await world.run_to_end()
            return paused, world

        paused, world = asyncio.run(run())
        assert (paused.reason, paused.outcome) == (Reason.KEY_EXPIRED, Outcome.UNKNOWN)
        assert len(world.executions) == 1

    def test_streamed_body_is_refused_without_a_claim(self):
        async def run():
            world = ClaimWorld(Schedule([]), 0)
            streamed = world.submit("a", stream=RequestBody(b""))
            await world.run_to_end()
            return streamed, world

        streamed, world = asyncio.run(run())
        assert streamed.outcome is Outcome.NOT_RUN
        assert (world.table.writes, world.executions) == (0, [])
