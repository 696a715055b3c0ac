"""Limits of a target, with a priority queue of the calls waiting for a slot.

A target never receives more calls at once than it has slots, nor more calls a second
than the limit that it names. All other calls queue at the node beside the target,
ordered by urgency, and can still be refused as not run.
"""

import asyncio
import bisect
import collections

from gentianlink.core.reason import Reason
from gentianlink.node.clock import get_monotonic_ms
from gentianlink.node.proxy.refusal import Refusal
from gentianlink.sidecar.admission.fair_share import NO_FLOW, FairShare
from gentianlink.sidecar.admission.slot_reserve import SlotReserve
from gentianlink.sidecar.admission.token_bucket import TokenBucket
from gentianlink.sidecar.admission.waiting_call import WaitingCall
from gentianlink.sidecar.admission.waiting_time import (
    compute_allowed_wait_ms,
    compute_retry_after_ms,
    compute_wait_ms,
)
from gentianlink.sidecar.target_load import TargetLoad

# Weight of the newest call in the EWMA of execution times.
MEAN_WEIGHT = 0.1
LEAST_URGENT_ORDER = ((1 << 30, 0.0), 0.0, 0.0)
# A rank without an arrival for this time no longer counts as being in use.
RANK_LIFETIME_MS = 5000.0
DRAIN_RETRY_MS = 50


def get_rank(hop):
    """Return the urgency of a call; lower ranks go first.

    Among calls of the same priority, those with the shorter target latency go first.
    They are the short calls that targets make while they hold a slot elsewhere.

    Parameters
    ----------
    hop : Hop
        Routing header of the call.

    Returns
    -------
    tuple
        Priority and target latency in milliseconds.
    """
    return hop.priority, hop.target_latency_ms


class PriorityGate:
    """Admits calls to one target within its number of slots.

    Parameters
    ----------
    slots : int
        Number of calls that the target executes at once.
    """

    def __init__(self, slots):
        self._slots = slots
        self._in_flight = 0
        self._waiting = []
        self._mean_ms = 0.0
        self._work_ms = {}
        self._close_reason = None
        self._last_arrival_ms = {}
        self._held_by_rank = collections.Counter()
        self._reserve = SlotReserve()
        self._shares = collections.defaultdict(FairShare)
        self._bucket = None
        self._admission = None

    @property
    def in_flight(self):
        """Number of calls that the target executes."""
        return self._in_flight

    @property
    def waiting(self):
        """Number of calls that wait for a slot."""
        return len(self._waiting)

    def get_work_ms(self, rule_name):
        """Return the mean execution time of a rule in milliseconds, 0 if unknown."""
        return self._work_ms.get(rule_name, 0.0)

    def get_load(self):
        """Return the load to report to other nodes.

        A target that may get no call now because of its rate limit counts as full.
        """
        now_ms = get_monotonic_ms()
        is_limited = self._compute_token_wait_ms(1, now_ms) > 0.0
        in_flight = max(self._in_flight, self._slots if is_limited else 0)
        wait_ms = 0.0
        if self._waiting or in_flight >= self._slots:
            wait_ms = self._compute_wait_ms(LEAST_URGENT_ORDER, 0.0, now_ms)
        return TargetLoad(in_flight, len(self._waiting), wait_ms)

    def resize(self, slots, now_ms):
        """Change the number of slots, and admit waiting calls to slots added."""
        self._slots = slots
        self._admit_waiting(now_ms)

    def set_rate_limit(self, per_s, now_ms):
        """Change the rate limit, and admit waiting calls that it lets through.

        Parameters
        ----------
        per_s : float or None
            Calls a second, None for no limit.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        if per_s is None:
            self._bucket = None
        elif self._bucket is None:
            self._bucket = TokenBucket(per_s, now_ms)
        else:
            self._bucket.set_rate(per_s, now_ms)
        if self._admission is not None:
            self._admission.cancel()
            self._admission = None
        self._admit_waiting(now_ms)

    def reopen(self):
        """Admit calls again."""
        self._close_reason = None

    def close(self, reason):
        """Refuse all calls that wait, and all that arrive later.

        Parameters
        ----------
        reason : Reason
            Reason given in the refusals.
        """
        self._close_reason = reason
        waiting, self._waiting = self._waiting, []
        for waiter in waiting:
            _refuse(waiter, Refusal(reason, retry_after_ms=DRAIN_RETRY_MS))

    async def enter(self, hop, deadline_ms, now_ms, flow=NO_FLOW, short_wait_ms=0.0):
        """Acquire a slot, waiting for one if the call may wait.

        Parameters
        ----------
        hop : Hop
            Rule and urgency of the call.
        deadline_ms : float
            Deadline of the call on the monotonic clock in milliseconds.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        flow : Flow, optional
            Tenant of the call.
        short_wait_ms : float, optional
            Time in milliseconds that also a call may wait that should rather try
            another target: what that costs at least.

        Returns
        -------
        Refusal or None
            None if the call acquired a slot; the caller of this method then has to
            release the slot with :meth:`leave`.
        """
        if self._close_reason is not None:
            return Refusal(self._close_reason, retry_after_ms=DRAIN_RETRY_MS)
        rank = get_rank(hop)
        self._last_arrival_ms[rank] = now_ms
        work_ms = self.get_work_ms(hop.rule_name)
        allowed_ms = compute_allowed_wait_ms(
            hop.latency_ms,
            deadline_ms - now_ms,
            hop.target_latency_ms,
            work_ms,
            self._is_least_urgent(rank, now_ms),
        )
        latest_ms = now_ms + allowed_ms
        share = self._shares[rank]
        start_ms = share.compute_start_ms(flow, work_ms)
        order = rank, start_ms, latest_ms
        wait_ms = self._compute_wait_ms(order, work_ms, now_ms)
        is_next = not self._waiting or order < self._waiting[0].order
        is_free = is_next and self._may_take_slot(rank, work_ms, now_ms)
        if is_free and (allowed_ms >= 0 or not self._in_flight):
            self._reserve.record(rank, work_ms, now_ms)
            share.record(flow, work_ms)
            share.advance(start_ms)
            self._take_slot(rank, now_ms)
            return None
        may_wait = hop.may_wait or wait_ms <= short_wait_ms
        if not may_wait or wait_ms > allowed_ms:
            retry_after_ms = compute_retry_after_ms(wait_ms, allowed_ms)
            return Refusal(Reason.OVERLOADED, retry_after_ms=retry_after_ms)
        self._reserve.record(rank, work_ms, now_ms)
        share.record(flow, work_ms)
        result = asyncio.get_running_loop().create_future()
        waiter = WaitingCall(result, rank, latest_ms, work_ms, flow, start_ms)
        bisect.insort(self._waiting, waiter, key=lambda item: item.order)
        self._refuse_overdue(now_ms)
        self._schedule_admission(now_ms)
        return await self._wait(waiter, allowed_ms)

    def _is_least_urgent(self, rank, now_ms):
        return not any(
            other > rank and now_ms - arrival_ms < RANK_LIFETIME_MS
            for other, arrival_ms in self._last_arrival_ms.items()
        )

    def _may_take_slot(self, rank, work_ms, now_ms):
        if self._in_flight >= self._slots:
            return False
        if self._compute_token_wait_ms(1, now_ms) > 0.0:
            return False
        held = sum(
            count for other, count in self._held_by_rank.items() if other >= rank
        )
        return held < self._reserve.compute_limit(rank, work_ms, self._slots, now_ms)

    def _take_slot(self, rank, now_ms):
        self._in_flight += 1
        self._held_by_rank[rank] += 1
        if self._bucket is not None:
            self._bucket.take(now_ms)

    def _compute_token_wait_ms(self, tokens, now_ms):
        if self._bucket is None:
            return 0.0
        return self._bucket.compute_wait_ms(tokens, now_ms)

    def _compute_wait_ms(self, order, work_ms, now_ms):
        ahead = [item for item in self._waiting if item.order <= order]
        work_ahead_ms = sum(item.work_ms or self._mean_ms for item in ahead)
        limit = self._reserve.compute_limit(order[0], work_ms, self._slots, now_ms)
        return max(
            compute_wait_ms(work_ahead_ms, self._slots, limit, self._mean_ms),
            self._compute_token_wait_ms(len(ahead) + 1, now_ms),
        )

    def _refuse_overdue(self, now_ms):
        """Refuse waiting calls that more urgent ones delay beyond their time limit."""
        work_ahead_ms = 0.0
        ahead = 0
        overdue = []
        for waiter in self._waiting:
            limit = self._reserve.compute_limit(
                waiter.rank, waiter.work_ms, self._slots, now_ms
            )
            wait_ms = max(
                compute_wait_ms(work_ahead_ms, self._slots, limit, self._mean_ms),
                self._compute_token_wait_ms(ahead + 1, now_ms),
            )
            if now_ms + wait_ms > waiter.latest_ms:
                overdue.append((waiter, wait_ms))
            else:
                work_ahead_ms += waiter.work_ms or self._mean_ms
                ahead += 1
        for waiter, wait_ms in overdue:
            self._waiting.remove(waiter)
            self._shares[waiter.rank].cancel(waiter.flow, waiter.work_ms)
            retry_after_ms = compute_retry_after_ms(wait_ms, waiter.latest_ms - now_ms)
            _refuse(waiter, Refusal(Reason.OVERLOADED, retry_after_ms=retry_after_ms))

    async def _wait(self, waiter, allowed_ms):
        try:
            async with asyncio.timeout(allowed_ms / 1000):
                return await waiter.result
        except TimeoutError:
            self._leave_queue(waiter)
            retry_after_ms = compute_retry_after_ms(
                self._compute_wait_ms(waiter.order, waiter.work_ms, waiter.latest_ms),
                0.0,
            )
            return Refusal(Reason.OVERLOADED, retry_after_ms=retry_after_ms)
        except asyncio.CancelledError:
            self._leave_queue(waiter)
            raise

    def _leave_queue(self, waiter):
        if waiter in self._waiting:
            self._waiting.remove(waiter)
            self._shares[waiter.rank].cancel(waiter.flow, waiter.work_ms)
        elif not waiter.result.cancelled() and waiter.result.result() is None:
            # A slot was granted just before the wait ended; it passes to the next call.
            self._release_slot(waiter.rank)
            self._admit_waiting(get_monotonic_ms())

    def _release_slot(self, rank):
        self._in_flight -= 1
        self._held_by_rank[rank] -= 1

    def leave(self, hop, elapsed_ms, now_ms):
        """Release a slot and admit the next waiting call.

        Parameters
        ----------
        hop : Hop
            Rule and urgency of the call.
        elapsed_ms : float
            Execution time of the call in milliseconds; 0 if it was not executed.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        if elapsed_ms:
            self._mean_ms = _update_mean(self._mean_ms, elapsed_ms)
            rule_mean_ms = self._work_ms.get(hop.rule_name, 0.0)
            self._work_ms[hop.rule_name] = _update_mean(rule_mean_ms, elapsed_ms)
        self._release_slot(get_rank(hop))
        self._admit_waiting(now_ms)

    def _admit_waiting(self, now_ms):
        while self._waiting:
            waiter = self._waiting[0]
            if not self._may_take_slot(waiter.rank, waiter.work_ms, now_ms):
                self._schedule_admission(now_ms)
                return
            del self._waiting[0]
            if waiter.result.done():
                continue
            self._shares[waiter.rank].advance(waiter.start_ms)
            self._take_slot(waiter.rank, now_ms)
            waiter.result.set_result(None)

    def _schedule_admission(self, now_ms):
        """Admit waiting calls once the rate limit lets the next one through."""
        wait_ms = self._compute_token_wait_ms(1, now_ms)
        if self._admission is not None or not self._waiting or not wait_ms:
            return
        self._admission = asyncio.get_running_loop().call_later(
            wait_ms / 1000, self._admit_due, now_ms + wait_ms
        )

    def _admit_due(self, now_ms):
        self._admission = None
        self._admit_waiting(now_ms)


def _update_mean(mean_ms, elapsed_ms):
    weight = MEAN_WEIGHT if mean_ms else 1.0
    return mean_ms + weight * (elapsed_ms - mean_ms)


def _refuse(waiter, refusal):
    if not waiter.result.done():
        waiter.result.set_result(refusal)
