import asyncio

import pytest

from gentianlink.core.reason import Reason
from gentianlink.node.proxy.gate import Gate
from gentianlink.node.proxy.queue_order import pick_earliest_deadline, pick_newest

FAR_MS = 1e15


async def start(gate, queue_limit=10, deadline_ms=FAR_MS, now_ms=0.0, **flow):
    task = asyncio.create_task(gate.enter(queue_limit, deadline_ms, now_ms, **flow))
    await asyncio.sleep(0)
    return task


async def fill(gate, count):
    for _ in range(count):
        assert await gate.enter(0, FAR_MS, 0.0) is None


def get_reasons(tasks):
    return [
        task.result() and task.result().reason if task.done() else "waits"
        for task in tasks
    ]


class TestGate:
    def test_calls_fill_the_slots_then_the_queue_then_are_refused(self):
        async def run():
            gate = Gate(2)
            tasks = [await start(gate, queue_limit=1) for _ in range(4)]
            before = get_reasons(tasks)
            gate.leave(10.0, 10.0)
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            after = get_reasons(tasks), gate.in_flight
            gate.drain()
            return before, after

        assert asyncio.run(run()) == (
            [None, None, "waits", Reason.OVERLOADED],
            ([None, None, None, Reason.OVERLOADED], 2),
        )

    @pytest.mark.proves("not-run", "overload", "dispatch")
    def test_call_that_cannot_end_in_time_is_refused_at_once(self):
        async def run():
            gate = Gate(1)
            await fill(gate, 1)
            gate.leave(100.0, 0.0)
            await fill(gate, 1)
            return [
                await gate.enter(10, deadline_ms, 0.0) for deadline_ms in (90, 150, 199)
            ]

        refusals = asyncio.run(run())
        assert [item.reason for item in refusals] == [Reason.OVERLOADED] * 3
        assert [item.retry_after_ms for item in refusals] == [100] * 3

    @pytest.mark.proves("not-run", "freeze", "dispatch")
    def test_call_that_expired_in_the_queue_is_not_run(self):
        async def run():
            gate = Gate(1)
            await fill(gate, 1)
            late = await start(gate, deadline_ms=1e9)
            next_call = await start(gate)
            gate.leave(1.0, 2e9)
            await asyncio.gather(late, next_call)
            return get_reasons([late, next_call]), gate.in_flight

        assert asyncio.run(run()) == ([Reason.OVERLOADED, None], 1)

    def test_deadline_passes_in_the_queue(self):
        async def run():
            gate = Gate(1)
            await fill(gate, 1)
            return (await gate.enter(10, 5.0, 0.0)).reason, gate.queued

        assert asyncio.run(run()) == (Reason.DEADLINE_PASSED, 0)

    def test_slow_target_gets_one_call_at_a_time_until_it_is_fast_again(self):
        async def run():
            gate = Gate(4)
            results = []
            for elapsed_ms, is_interrupted in ((100, True), (10, False), (10, False)):
                await fill(gate, 1)
                second = await gate.enter(10, 150.0, 0.0)
                results.append(second and second.reason)
                if second is None:
                    gate.leave(0.0, 0.0)
                gate.leave(elapsed_ms, 0.0, is_interrupted=is_interrupted)
            return results, (await gate.enter(10, 150.0, 0.0)), gate.in_flight

        results, _, in_flight = asyncio.run(run())
        assert results == [None, Reason.OVERLOADED, Reason.OVERLOADED]
        assert in_flight == 1

    def test_mean_time_is_kept_for_each_kind_of_work(self):
        async def run():
            gate = Gate(2)
            await fill(gate, 1)
            gate.leave(500.0, 0.0, kind="slow")
            await fill(gate, 1)
            quick = await gate.enter(10, 100.0, 0.0, kind="quick")
            gate.leave(1.0, 0.0, kind="quick")
            slow = await gate.enter(10, 100.0, 0.0, kind="slow")
            return quick, slow.reason

        assert asyncio.run(run()) == (None, Reason.OVERLOADED)

    def test_cancelled_call_leaves_the_queue(self):
        async def run():
            gate = Gate(1)
            await fill(gate, 1)
            task = await start(gate)
            task.cancel()
            await asyncio.wait([task])
            return gate.queued, gate.in_flight

        assert asyncio.run(run()) == (0, 1)

    def test_call_cancelled_as_it_gets_its_slot_frees_it_once(self):
        async def run():
            gate = Gate(1)
            await fill(gate, 1)
            task = await start(gate)
            gate.leave(1.0, 1.0)
            task.cancel()
            await asyncio.wait([task])
            return gate.queued, gate.in_flight

        assert asyncio.run(run()) == (0, 0)

    @pytest.mark.proves("no-new-work", "overload", "drain")
    @pytest.mark.proves("no-cut", "overload", "drain")
    @pytest.mark.proves("not-run", "overload", "drain")
    def test_drain_refuses_queued_calls_and_interrupts_none(self):
        async def run():
            gate = Gate(1)
            await fill(gate, 1)
            task = await start(gate)
            gate.drain()
            await task
            late = await gate.enter(10, FAR_MS, 0.0)
            return task.result().reason, late.reason, gate.in_flight

        assert asyncio.run(run()) == (Reason.DRAINING, Reason.DRAINING, 1)

    def test_more_slots_admit_queued_calls(self):
        async def run():
            gate = Gate(1)
            await fill(gate, 1)
            tasks = [await start(gate) for _ in range(3)]
            gate.resize(3)
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            reasons = get_reasons(tasks)
            gate.drain()
            return reasons, gate.in_flight

        assert asyncio.run(run()) == ([None, None, "waits"], 3)

    @pytest.mark.parametrize(
        ("pick", "admitted"), [(pick_newest, 2), (pick_earliest_deadline, 1)]
    )
    def test_order_of_the_queue_is_a_parameter(self, pick, admitted):
        async def run():
            gate = Gate(1, pick)
            await fill(gate, 1)
            tasks = [await start(gate, deadline_ms=d) for d in (3e9, 1e9, 2e9)]
            gate.leave(1.0, 1.0)
            await tasks[admitted]
            gate.drain()
            await asyncio.gather(*tasks)
            return get_reasons(tasks)

        expected = [Reason.DRAINING] * 3
        expected[admitted] = None
        assert asyncio.run(run()) == expected

    def test_full_queue_is_shared_between_owners_and_callers(self):
        async def run():
            gate = Gate(1)
            await fill(gate, 1)
            flows = [("a", "x"), ("a", "x"), ("a", "y"), ("a", "x")]
            flows += [("b", "z"), ("b", "z"), ("b", "z"), ("a", "y")]
            tasks = [
                await start(gate, queue_limit=4, owner=owner, caller=caller)
                for owner, caller in flows
            ]
            await asyncio.sleep(0)
            reasons = get_reasons(tasks)
            gate.drain()
            return reasons

        assert asyncio.run(run()) == [
            "waits",
            Reason.OVERLOADED,
            "waits",
            Reason.OVERLOADED,
            "waits",
            "waits",
            Reason.OVERLOADED,
            Reason.OVERLOADED,
        ]
