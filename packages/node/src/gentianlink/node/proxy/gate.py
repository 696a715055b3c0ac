"""Admission control of a local target: its slots and a short queue.

A call is queued only if it is expected to end before its deadline; any other is refused
at once, with the time to wait before a retry. So the queue contains no call whose
caller has given up, whatever the offered load. A target that has become too slow for
the deadlines of its calls gets one call at a time, until it is fast again.
"""

import asyncio

from gentianlink.core.reason import Reason
from gentianlink.node.clock import get_monotonic_ms
from gentianlink.node.proxy.queue_order import pick_earliest_deadline
from gentianlink.node.proxy.queue_share import find_displaced
from gentianlink.node.proxy.refusal import Refusal
from gentianlink.node.proxy.waiting_call import WaitingCall

MIN_RETRY_AFTER_MS = 20
MAX_WAIT_SHARE = 0.5
EWMA_WEIGHT = 0.1
INTERRUPTED_WORK_FACTOR = 2
MS_PER_S = 1000


class Gate:
    """Slots of one local target, and the queue of calls that wait for a slot.

    Parameters
    ----------
    slots : int
        Number of calls that the target executes at once.
    pick_next : callable, optional
        Takes the queue, oldest first; returns the index of the call to admit next.
    """

    def __init__(self, slots, pick_next=pick_earliest_deadline):
        self._slots = slots
        self._pick_next = pick_next
        self._in_flight = 0
        self._waiting = []
        self._is_draining = False
        self._mean_ms = 0.0
        self._work_ms = {}

    @property
    def free_slots(self):
        """Slots that a new call can take now."""
        return max(0, self._slots - self._in_flight - len(self._waiting))

    @property
    def free_slots_after_answer(self):
        """Slots that are free once one call in flight has ended."""
        return max(0, self._slots - self._in_flight - len(self._waiting) + 1)

    @property
    def in_flight(self):
        """Number of calls that the target executes."""
        return self._in_flight

    @property
    def queued(self):
        """Number of calls in the queue."""
        return len(self._waiting)

    @property
    def mean_ms(self):
        """Moving average in milliseconds of the time that a call occupies its slot."""
        return self._mean_ms

    def drain(self):
        """Refuse new and queued calls from now on, so that other targets get them."""
        self._is_draining = True
        refusal = Refusal(Reason.DRAINING, retry_after_ms=MIN_RETRY_AFTER_MS)
        for waiter in self._waiting:
            _set_result(waiter, refusal)
        self._waiting.clear()

    def resize(self, slots):
        """Change the number of slots, and admit queued calls to additional ones.

        Parameters
        ----------
        slots : int
            Number of calls that the target executes at once from now on.
        """
        self._slots = slots
        self._admit_waiting(get_monotonic_ms())

    def estimate_wait_ms(self, calls_ahead):
        """Return the time until a slot is free for a call in the queue.

        Parameters
        ----------
        calls_ahead : int
            Number of calls ahead of it in the queue.

        Returns
        -------
        float
            Time in milliseconds.
        """
        return self._mean_ms * (calls_ahead + 1) / max(1, self._slots)

    async def enter(
        self, queue_limit, deadline_ms, now_ms, owner="", caller="", kind=""
    ):
        """Take a slot, waiting in the queue if none is free.

        Parameters
        ----------
        queue_limit : int
            Largest number of calls in the queue.
        deadline_ms : float
            Deadline of the call on the monotonic clock in milliseconds.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        owner : str, optional
            Owner of the entry, for fair shares of the queue.
        caller : str, optional
            Name of the caller, for fair shares of the queue.
        kind : str, optional
            Kind of work; its mean time in earlier calls is the time expected.

        Returns
        -------
        Refusal or None
            None if the call has a slot.
        """
        if self._is_draining:
            return Refusal(Reason.DRAINING, retry_after_ms=MIN_RETRY_AFTER_MS)
        work_ms = self._work_ms.get(kind, 0.0)
        is_in_time = work_ms <= deadline_ms - now_ms
        if self._in_flight < self._slots and (is_in_time or not self._in_flight):
            self._in_flight += 1
            return None
        waiter = WaitingCall(_make_future(), deadline_ms, owner, caller, work_ms)
        if not is_in_time or not self._has_room(queue_limit, waiter, now_ms):
            displaced = find_displaced(self._waiting, owner, caller)
            if displaced is None or not is_in_time:
                return self._refuse()
            self._waiting.remove(displaced)
            _set_result(displaced, self._refuse())
        self._waiting.append(waiter)
        return await self._wait(waiter, deadline_ms - now_ms)

    def _has_room(self, queue_limit, waiter, now_ms):
        if len(self._waiting) >= queue_limit:
            return False
        wait_ms = self.estimate_wait_ms(len(self._waiting))
        remaining_ms = waiter.deadline_ms - now_ms
        return wait_ms <= min(
            remaining_ms * MAX_WAIT_SHARE, remaining_ms - waiter.work_ms
        )

    def _refuse(self):
        wait_ms = self.estimate_wait_ms(len(self._waiting))
        retry_after_ms = max(MIN_RETRY_AFTER_MS, int(wait_ms))
        return Refusal(Reason.OVERLOADED, retry_after_ms=retry_after_ms)

    async def _wait(self, waiter, remaining_ms):
        try:
            async with asyncio.timeout(remaining_ms / MS_PER_S):
                return await waiter.result
        except TimeoutError:
            self._abandon(waiter)
            return Refusal(Reason.DEADLINE_PASSED)
        except asyncio.CancelledError:
            self._abandon(waiter)
            raise

    def _abandon(self, waiter):
        if waiter in self._waiting:
            self._waiting.remove(waiter)
        elif not waiter.result.cancelled() and waiter.result.result() is None:
            self.leave(0.0, get_monotonic_ms())

    def leave(self, elapsed_ms, now_ms, kind="", is_interrupted=False):
        """Free a slot, and admit the next queued call.

        Parameters
        ----------
        elapsed_ms : float
            Time in milliseconds that the slot was occupied; 0 if it was not used.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        kind : str, optional
            Kind of the work.
        is_interrupted : bool, optional
            Whether the work was interrupted, and would have taken longer.
        """
        if elapsed_ms:
            self._mean_ms = _update_mean(self._mean_ms, elapsed_ms, is_interrupted)
            mean_ms = self._work_ms.get(kind, 0.0)
            self._work_ms[kind] = _update_mean(mean_ms, elapsed_ms, is_interrupted)
        self._in_flight -= 1
        self._admit_waiting(now_ms)

    def _admit_waiting(self, now_ms):
        while self._waiting and self._in_flight < self._slots:
            waiter = self._waiting.pop(self._pick_next(self._waiting))
            if waiter.result.done():
                continue
            if waiter.work_ms > waiter.deadline_ms - now_ms:
                _set_result(waiter, self._refuse())
                continue
            self._in_flight += 1
            waiter.result.set_result(None)


def _update_mean(mean_ms, elapsed_ms, is_interrupted):
    if is_interrupted:
        elapsed_ms = max(mean_ms, elapsed_ms * INTERRUPTED_WORK_FACTOR)
    weight = EWMA_WEIGHT if mean_ms else 1.0
    return mean_ms + weight * (elapsed_ms - mean_ms)


def _make_future():
    return asyncio.get_running_loop().create_future()


def _set_result(waiter, refusal):
    if not waiter.result.done():
        waiter.result.set_result(refusal)
