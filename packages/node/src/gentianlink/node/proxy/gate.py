"""The gate before a local target: its slots and a short queue."""

import asyncio
import collections

from gentianlink.core.reason import Reason
from gentianlink.node.proxy.refusal import Refusal

MIN_RETRY_AFTER_MS = 20


class Gate:
    """Slots of one local target, and the calls that wait for one.

    Parameters
    ----------
    slots : int
        Calls that the target executes at once.
    """

    def __init__(self, slots):
        self._slots = slots
        self._in_flight = 0
        self._waiting = collections.deque()
        self._is_draining = False
        self._mean_ms = 0.0

    @property
    def free_slots(self):
        """Slots that a new call could take now."""
        return max(0, self._slots - self._in_flight - len(self._waiting))

    @property
    def in_flight(self):
        """Calls that the target executes."""
        return self._in_flight

    @property
    def queued(self):
        """Calls that wait for a slot."""
        return len(self._waiting)

    def drain(self):
        """Take no new work from now on."""
        self._is_draining = True

    def resize(self, slots):
        """Change the number of slots; calls that wait take those that are new.

        Parameters
        ----------
        slots : int
            Calls that the target executes at once from now on.
        """
        self._slots = slots
        self._admit_waiting()

    def _admit_waiting(self):
        while self._waiting and self._in_flight < self._slots:
            waiter = self._waiting.popleft()
            if not waiter.done():
                self._in_flight += 1
                waiter.set_result(None)

    async def enter(self, queue_limit, remaining_ms):
        """Take a slot, waiting in the queue if there is none.

        Parameters
        ----------
        queue_limit : int
            Calls that may wait.
        remaining_ms : float
            Time until the call's deadline in milliseconds.

        Returns
        -------
        Refusal or None
            None if the call has a slot; else why it was refused, at once.
        """
        if self._is_draining:
            return Refusal(Reason.DRAINING, retry_after_ms=MIN_RETRY_AFTER_MS)
        if self._in_flight < self._slots:
            self._in_flight += 1
            return None
        wait_ms = self._estimate_wait_ms()
        if len(self._waiting) >= queue_limit or wait_ms >= remaining_ms:
            retry_after_ms = max(MIN_RETRY_AFTER_MS, int(wait_ms))
            return Refusal(Reason.OVERLOADED, retry_after_ms=retry_after_ms)
        return await self._wait(remaining_ms)

    async def _wait(self, remaining_ms):
        waiter = asyncio.get_running_loop().create_future()
        self._waiting.append(waiter)
        try:
            async with asyncio.timeout(remaining_ms / 1000):
                await waiter
        except TimeoutError:
            self._give_up(waiter)
            return Refusal(Reason.DEADLINE_PASSED)
        except asyncio.CancelledError:
            self._give_up(waiter)
            raise
        return None

    def _give_up(self, waiter):
        if waiter in self._waiting:
            self._waiting.remove(waiter)
        elif waiter.done() and not waiter.cancelled():
            self.leave(0.0)

    def leave(self, elapsed_ms):
        """Give back a slot; the first call that waits takes it.

        Parameters
        ----------
        elapsed_ms : float
            Time that the target took in milliseconds; 0 if it did not run.
        """
        if elapsed_ms:
            self._mean_ms += 0.1 * (elapsed_ms - self._mean_ms)
        self._in_flight -= 1
        self._admit_waiting()

    def _estimate_wait_ms(self):
        return self._mean_ms * (len(self._waiting) + 1) / max(1, self._slots)
