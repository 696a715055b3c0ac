"""Execute a call on a local target that its gate has admitted."""

import functools

from gentianlink.core.reason import Reason
from gentianlink.core.target_state import TargetState
from gentianlink.core.work_class import WorkClass
from gentianlink.node.clock import get_monotonic_ms
from gentianlink.node.proxy.answer_relay import AnswerRelay
from gentianlink.node.proxy.connection_pool import get_max_idle_ms
from gentianlink.node.proxy.errors import ConnectionLimitReached, TargetUnreachable
from gentianlink.node.proxy.exchange_call import compute_silence_ms, exchange_call
from gentianlink.node.proxy.refusal import Refusal, combine_refusals
from gentianlink.node.proxy.retry_budget import RetryBudget

RETRY_AFTER_MS = 100
SILENCE_SHARE = 0.4
NEW_CONNECTION_ONLY = 0
TIMEOUT_REASONS = (Reason.DEADLINE_PASSED, Reason.TARGET_SILENT)


class Dispatcher:
    """Runs calls on the local targets of this node.

    Parameters
    ----------
    local_targets : LocalTargets
        Targets that announced themselves to this node.
    pool : ConnectionPool
        Connections to the local targets.
    claims : AtMostOnce
        Executes the work of an idempotency key at most once.
    silence_ms : int
        Longest time in milliseconds without progress of an answer.
    """

    def __init__(self, local_targets, pool, claims, silence_ms):
        self._local_targets = local_targets
        self._pool = pool
        self._claims = claims
        self._silence_ms = silence_ms
        self._budgets = {}

    async def dispatch(self, call, entry, target_id, writer, version):
        """Run a call on one target and relay the answer.

        Parameters
        ----------
        call : Call
            The call.
        entry : Entry
            Entry of the catalogue.
        target_id : str
            Name of the target.
        writer : AnswerWriter
            Writes to the caller's connection.
        version : int
            Catalogue version in force.

        Returns
        -------
        Refusal or None
            None if the whole answer was relayed.
        """
        target = self._local_targets.get(target_id)
        if target is None or target.service != entry.service:
            return Refusal(Reason.WRONG_NODE, retry_after_ms=RETRY_AFTER_MS)
        if target.state is not TargetState.READY:
            return Refusal(Reason.DRAINING, retry_after_ms=RETRY_AFTER_MS)
        refusal = await target.gate.enter(
            entry.limits.queue,
            call.deadline_ms,
            get_monotonic_ms(),
            entry.owner,
            call.caller,
            entry.name,
        )
        if refusal is not None:
            return refusal
        work = self._run_in_slot(call, entry, target, writer, version)
        if entry.work_class is WorkClass.AT_MOST_ONCE:
            return await self._claims.run_to_end(work)
        return await work

    async def _run_in_slot(self, call, entry, target, writer, version):
        started_ms = get_monotonic_ms()
        is_interrupted = True
        try:
            refusal = await self._run(call, entry, target, writer, version)
            is_interrupted = refusal is not None and refusal.reason in TIMEOUT_REASONS
            return refusal
        finally:
            now_ms = get_monotonic_ms()
            target.gate.leave(now_ms - started_ms, now_ms, entry.name, is_interrupted)

    async def _run(self, call, entry, target, writer, version):
        is_at_most_once = entry.work_class is WorkClass.AT_MOST_ONCE
        relay = (self._claims.make_relay if is_at_most_once else AnswerRelay)(
            writer,
            version,
            is_head=call.method == "HEAD",
            get_free_slots=lambda: target.gate.free_slots_after_answer,
        )
        if is_at_most_once:
            run = functools.partial(self._exchange, call, target, relay)
            return await self._claims.execute(call, relay, run)
        refusal = await self._exchange(call, target, relay, is_repeatable=True)
        if refusal is None:
            await relay.end()
        return refusal

    async def _exchange(self, call, target, relay, is_repeatable=False):
        """Send a call to a target; resend it over a new connection if that is safe."""
        now_ms = get_monotonic_ms()
        budget = self._get_budget(target.service, now_ms)
        budget.record_call(now_ms)
        max_idle_ms = get_max_idle_ms(is_repeatable)
        silence_ms = self._silence_ms
        if is_repeatable:
            remaining_ms = call.get_remaining_ms(now_ms)
            silence_ms = compute_silence_ms(
                silence_ms, remaining_ms, SILENCE_SHARE, target.gate.mean_ms
            )
        try:
            stream = await self._acquire(target, max_idle_ms)
        except TargetUnreachable:
            return Refusal(Reason.TARGET_UNREACHABLE, retry_after_ms=RETRY_AFTER_MS)
        except ConnectionLimitReached:
            return Refusal(Reason.CONNECTION_LIMIT, retry_after_ms=RETRY_AFTER_MS)
        is_used = stream.exchanges > 0
        refusal = await self._send(stream, call, relay, silence_ms)
        if not is_repeatable or not _may_be_stale(refusal, is_used, relay, call):
            return refusal
        if refusal.reason is Reason.TARGET_SILENT and not budget.try_take():
            return refusal
        try:
            stream = await self._acquire(target, NEW_CONNECTION_ONLY)
        except (TargetUnreachable, ConnectionLimitReached):
            return refusal
        later = await self._send(stream, call, relay, self._silence_ms)
        return combine_refusals(refusal, later)

    def _get_budget(self, service, now_ms):
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(now_ms)
        return budget

    async def _acquire(self, target, max_idle_ms):
        return await self._pool.acquire(
            target.address, target.port, get_monotonic_ms(), max_idle_ms
        )

    async def _send(self, stream, call, relay, silence_ms):
        return await exchange_call(self._pool, stream, call, relay, silence_ms)


def _may_be_stale(refusal, is_used, relay, call):
    if refusal is None or relay.is_begun:
        return False
    if not call.is_replayable or call.attempt > 1:
        return False
    if refusal.reason is Reason.TARGET_LOST:
        return is_used
    return refusal.reason is Reason.TARGET_SILENT
