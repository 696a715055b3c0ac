"""Retry, within bounds, the writes that settle claims."""

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
    """Background writes: results of calls, and releases of abandoned claims.

    Parameters
    ----------
    max_pending : int
        Writes that may be pending at once.
    counts : ClaimCounts
        Numbers of what happened.
    on_success : callable
        Called when a write succeeded.
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
        """Number of writes that are pending."""
        return len(self._tasks)

    @property
    def is_full(self):
        """Whether no further write can be taken."""
        return len(self._tasks) >= self._max_pending

    def start(self, step):
        """Run a step, again and again until it succeeds.

        Parameters
        ----------
        step : callable
            Coroutine function that raises a GentianlinkError if it must be retried.
        """
        task = start_task(self._run(step), "settle claim")
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(self, step):
        delay_ms = FIRST_DELAY_MS
        for _ in range(MAX_TRIES):
            try:
                await step()
            except GentianlinkError:
                self._counts.add("settle-retried")
                await self._sleep(delay_ms * (0.5 + random.random()) / 1000)
                delay_ms = min(MAX_DELAY_MS, delay_ms * 2)
            else:
                self._on_success()
                return
        self._counts.add("settle-dropped")
        _LOG.error("claim not settled", tries=MAX_TRIES)

    async def wait_idle(self, timeout_ms):
        """Wait until no write is pending, or a time has passed.

        Parameters
        ----------
        timeout_ms : float
            Bound in milliseconds.
        """
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                while self._tasks:
                    await asyncio.wait(set(self._tasks))
        except TimeoutError:
            _LOG.error("claims not settled", pending=len(self._tasks))
