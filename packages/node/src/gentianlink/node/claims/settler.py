"""Background writes of claim rows, with bounded retries."""

import asyncio
import random

from gentianlink.core.errors import GentianlinkError
from gentianlink.node.background import start_task
from gentianlink.node.log import get_logger

_LOG = get_logger("claims")

FIRST_DELAY_MS = 50
MAX_DELAY_MS = 5000
MAX_TRIES = 60


class Settler:
    """Writes results of calls and releases of claims in the background.

    Parameters
    ----------
    max_pending : int
        Number of pending writes at which calls should be refused.
    counts : ClaimCounts
        Counters for the metrics.
    on_success : callable
        Called after each write that succeeded.
    sleep : callable, optional
        Coroutine function that waits for a time in seconds.
    """

    def __init__(self, max_pending, counts, on_success, sleep=asyncio.sleep):
        self._max_pending = max_pending
        self._counts = counts
        self._on_success = on_success
        self._sleep = sleep
        self._tasks = set()

    @property
    def pending(self):
        """Number of pending writes."""
        return len(self._tasks)

    @property
    def is_full(self):
        """Whether ``max_pending`` writes are pending; calls should be refused then."""
        return len(self._tasks) >= self._max_pending

    def start(self, write):
        """Start a write that is retried with back-off and jitter.

        The write is dropped, and an error logged, after ``MAX_TRIES`` failed tries.

        Parameters
        ----------
        write : callable
            Coroutine function that raises a GentianlinkError if it must be retried.
        """
        task = start_task(self._run(write), "settle claim")
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(self, write):
        delay_ms = FIRST_DELAY_MS
        for _ in range(MAX_TRIES):
            try:
                await write()
            except GentianlinkError:
                self._counts.add("settle-retried")
                await self._sleep(delay_ms * (0.5 + random.random()) / 1000)
                delay_ms = min(MAX_DELAY_MS, delay_ms * 2)
            else:
                self._on_success()
                return
        self._counts.add("settle-dropped")
        _LOG.error("claim row not updated: retries exhausted", tries=MAX_TRIES)

    async def wait_idle(self, timeout_ms):
        """Wait until no write is pending, with a timeout.

        Parameters
        ----------
        timeout_ms : float
            Timeout in milliseconds.
        """
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                while self._tasks:
                    await asyncio.wait(set(self._tasks))
        except TimeoutError:
            _LOG.error(
                "timed out waiting for pending claim writes", pending=len(self._tasks)
            )
