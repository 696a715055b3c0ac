import asyncio
import itertools

import structlog

from gentianlink.node.background import (
    MAX_RESTART_MS,
    STEADY_S,
    make_exception_handler,
    run_step,
    start_lasting_task,
)
from gentianlink.testing.virtual_loop import run_virtual

FAILURES = 5


class Work:
    """Coroutine that fails some times before it returns."""

    def __init__(self, failures, run_s=0.0):
        self._failures = failures
        self._run_s = run_s
        self.started_s = []

    async def __call__(self):
        self.started_s.append(asyncio.get_running_loop().time())
        await asyncio.sleep(self._run_s)
        if len(self.started_s) <= self._failures:
            raise ZeroDivisionError
        return "end"


def run(work):
    """Run a lasting task; return its result and the names of its failures."""

    async def scenario():
        failed = []
        result = await start_lasting_task(work, "work", failed.append)
        return result, failed

    return run_virtual(scenario())


class TestLastingTask:
    def test_task_is_started_again_until_it_succeeds(self):
        work = Work(FAILURES)
        assert run(work) == ("end", ["work"] * FAILURES)
        assert len(work.started_s) == FAILURES + 1

    def test_pauses_grow_up_to_a_bound(self):
        work = Work(20)
        run(work)
        times = work.started_s
        pauses = [b - a for a, b in itertools.pairwise(times)]
        assert pauses[0] <= 0.1
        assert 0.5 * MAX_RESTART_MS / 1000 <= pauses[-1] <= MAX_RESTART_MS / 1000

    def test_pause_is_short_after_a_long_run(self):
        work = Work(FAILURES, 2 * STEADY_S)
        run(work)
        assert work.started_s[-1] < FAILURES * (2 * STEADY_S + 0.1)

    def test_cancelled_task_is_not_started_again(self):
        async def scenario():
            work = Work(0, 5.0)
            task = start_lasting_task(work, "work")
            await asyncio.sleep(1.0)
            task.cancel()
            await asyncio.wait([task])
            return work.started_s, task.cancelled()

        assert run_virtual(scenario()) == ([0.0], True)

    def test_each_failure_is_logged_with_its_traceback(self):
        with structlog.testing.capture_logs() as lines:
            run(Work(2))
        assert [line["task"] for line in lines] == ["work"] * 2
        assert all(line["why"] == "ZeroDivisionError" for line in lines)
        assert all(line["exc_info"].__traceback__ for line in lines)


class TestStep:
    def test_failure_is_counted(self):
        failed = []
        run_step(lambda: 1 / 0, "step", failed.append)
        run_step(lambda: None, "step", failed.append)
        assert failed == ["step"]


class TestCallbacks:
    def test_failure_of_a_callback_is_counted(self):
        async def scenario():
            failed = []
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(make_exception_handler(failed.append))
            loop.call_soon(lambda: 1 / 0)
            await asyncio.sleep(0.1)
            return failed

        assert run_virtual(scenario()) == ["callback"]
