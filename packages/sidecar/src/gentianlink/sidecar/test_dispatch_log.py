import asyncio

from hypothesis import given
from hypothesis import strategies as st

from gentianlink.sidecar import dispatch_log
from gentianlink.sidecar.dispatch_log import RETENTION_MS, DispatchLog
from gentianlink.testing.scripted_target import make_answer
from gentianlink.testing.sidecar_world import SidecarWorld

IDS = st.sampled_from(["id-1", "id-2", "id-3"])
TIMES = st.floats(0.0, 2 * RETENTION_MS)
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("send"), IDS, TIMES),
        st.tuples(st.just("fence"), IDS, TIMES),
        st.tuples(st.just("wait"), TIMES, st.just(0.0)),
    ),
    max_size=30,
)


class TestDispatchLog:
    def test_dispatched_call_is_not_fenced(self):
        log = DispatchLog()
        log.record("id-1", 0.0)
        assert not log.fence("id-1", 0.0, 1.0)

    def test_fenced_call_is_not_dispatched(self):
        log = DispatchLog()
        assert log.fence("id-1", 0.0, 0.0)
        assert log.is_fenced("id-1")
        assert not log.is_fenced("id-2")

    # Guards against confirming that a call was not run because it is forgotten (TWICE).
    def test_confirmation_does_not_reach_back_to_what_is_forgotten(self):
        log = DispatchLog()
        log.record("id-1", 0.0)
        for age_ms in (16_000.0, RETENTION_MS + 1, 10 * RETENTION_MS):
            assert log.fence("id-1", 0.0, age_ms) < age_ms

    # Guards against sending a call that has waited for a slot longer than its fence.
    def test_fence_lasts_as_long_as_the_call_may_wait(self):
        log = DispatchLog()
        assert log.fence("id-1", 3_600_000.0, 0.0)
        log.record("id-2", 3_600_000.0)
        assert log.is_fenced("id-1")

    def test_number_of_remembered_calls_is_bounded(self, monkeypatch):
        monkeypatch.setattr(dispatch_log, "MAX_CALLS", 10)
        log = DispatchLog()
        for number in range(100):
            log.record(f"id-{number}", float(number))
        assert log.size == 10
        assert log.fence("other", 0.0, 100.0) <= 100.0 - 89.0

    @given(STEPS)
    def test_confirmed_call_was_not_sent_and_is_not_sent_later(self, steps):
        log = DispatchLog()
        now_ms = 0.0
        sent_ms = {}
        confirmed = {}
        for kind, value, time_ms in steps:
            if kind == "wait":
                now_ms += value
            elif kind == "send" and not log.is_fenced(value):
                # A call is sent only until its deadline.
                assert now_ms > confirmed.get(value, float("-inf"))
                log.record(value, now_ms)
                sent_ms[value] = now_ms
            elif kind == "fence":
                covered_ms = log.fence(value, time_ms, now_ms)
                if covered_ms:
                    age_ms = now_ms - sent_ms.get(value, float("-inf"))
                    assert age_ms >= covered_ms
                    confirmed[value] = now_ms + time_ms


class TestLostConnection:
    # Guards against a second execution once the node beside the target has forgotten
    # that it sent the call (TWICE).
    def test_unsafe_call_runs_once_if_its_link_breaks_late(self, monkeypatch):
        monkeypatch.setattr(dispatch_log, "RETENTION_MS", 100.0)
        monkeypatch.setattr(dispatch_log, "SWEEP_INTERVAL_MS", 10.0)
        executed = []

        async def work_long(request, connection):
            executed.append(request.headers["request-id"])
            await asyncio.sleep(1.5)
            return make_answer(request)

        async def run_world():
            async with SidecarWorld(["registry", "inquiry", "inquiry"]) as world:
                caller, *others = world.nodes
                for node in others:
                    node.target.set_behaviour(work_long)
                call = asyncio.create_task(
                    caller.call("/buy/1", "id-1", "POST", b"x", Deadline_Ms="2000")
                )
                await world.wait_until(lambda: executed)
                await asyncio.sleep(0.5)
                for node in others:
                    for stream in list(node.sidecar._forward_server._streams):
                        stream.close()
                answer = await call
                assert executed == ["id-1"]
                assert answer.status not in (408, 421, 429, 503)

        asyncio.run(run_world())

    def test_call_that_was_not_sent_goes_to_another_target(self):
        executed = []

        async def work(request, connection):
            executed.append(request.headers["request-id"])
            return make_answer(request)

        async def run_world():
            async with SidecarWorld(["registry", "inquiry", "inquiry"]) as world:
                caller, *others = world.nodes
                for node in others:
                    node.target.set_behaviour(work)
                runner = others[0].sidecar._runner
                run = runner.run

                async def lose(*args):
                    for stream in list(others[0].sidecar._forward_server._streams):
                        stream.close()
                    await asyncio.sleep(0.2)
                    return await run(*args)

                runner.run = lose
                answers = [
                    await caller.call("/buy/1", f"id-{number}", "POST", b"x")
                    for number in range(6)
                ]
                assert [answer.status for answer in answers] == [200] * 6
                assert sorted(executed) == sorted(set(executed))

        asyncio.run(run_world())
