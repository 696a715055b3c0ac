"""Execute a call on a local target, behind its gate."""

import functools

from gentianlink.core.reason import Reason
from gentianlink.core.target_state import TargetState
from gentianlink.core.work_class import WorkClass
from gentianlink.node.clock import get_monotonic_ms
from gentianlink.node.proxy.answer_relay import AnswerRelay
from gentianlink.node.proxy.connection_pool import (
    MAX_IDLE_MS,
    MAX_IDLE_NON_REPEATABLE_MS,
)
from gentianlink.node.proxy.errors import ConnectionLimitReached, TargetUnreachable
from gentianlink.node.proxy.exchange_call import exchange_call
from gentianlink.node.proxy.refusal import Refusal

RETRY_AFTER_MS = 100
GATE_SILENCE_SHARE = 0.4
REASONS_FOR_FRESH_CONNECTION = (Reason.TARGET_LOST, Reason.TARGET_SILENT)


class Dispatcher:
    """Runs calls on the targets beside this node.

    Parameters
    ----------
    local_targets : LocalTargets
        Targets beside this node.
    pool : ConnectionPool
        Connections to them.
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
            The caller's side.
        version : int
            Catalogue version in force.

        Returns
        -------
        Refusal or None
            None if the answer was relayed whole.
        """
        target = self._local_targets.get(target_id)
        if target is None or target.service != entry.service:
            return Refusal(Reason.WRONG_NODE, retry_after_ms=RETRY_AFTER_MS)
        if target.state is not TargetState.READY:
            return Refusal(Reason.DRAINING, retry_after_ms=RETRY_AFTER_MS)
        remaining_ms = call.get_remaining_ms(get_monotonic_ms())
        refusal = await target.gate.enter(entry.limits.queue, remaining_ms)
        if refusal is not None:
            return refusal
        work = self._run_in_slot(call, entry, target, writer, version)
        if entry.work_class is WorkClass.AT_MOST_ONCE:
            return await self._claims.run_to_end(work)
        return await work

    async def _run_in_slot(self, call, entry, target, writer, version):
        started_ms = get_monotonic_ms()
        try:
            return await self._run(call, entry, target, writer, version)
        finally:
            target.gate.leave(get_monotonic_ms() - started_ms)

    async def _run(self, call, entry, target, writer, version):
        if entry.work_class is WorkClass.AT_MOST_ONCE:
            relay = self._claims.make_relay(writer, version)
            run = functools.partial(self._exchange, call, target, relay)
            return await self._claims.execute(call, relay, run)
        relay = AnswerRelay(
            writer,
            version,
            is_head=call.method == "HEAD",
            get_free_slots=lambda: target.gate.free_slots_after_one,
        )
        refusal = await self._exchange(call, target, relay, is_repeatable=True)
        if refusal is None:
            await relay.end()
        return refusal

    async def _exchange(self, call, target, relay, is_repeatable=False):
        """Send a call to a target; try a fresh connection if that does no harm."""
        max_idle_ms = MAX_IDLE_MS if is_repeatable else MAX_IDLE_NON_REPEATABLE_MS
        silence_share = GATE_SILENCE_SHARE if is_repeatable else 1.0
        refusal = await self._exchange_once(
            call, target, relay, max_idle_ms, silence_share
        )
        if refusal is None or not is_repeatable or relay.is_begun:
            return refusal
        if refusal.reason not in REASONS_FOR_FRESH_CONNECTION:
            return refusal
        if not call.is_replayable or call.attempt > 1:
            return refusal
        return await self._exchange_once(call, target, relay, 0, 1.0)

    async def _exchange_once(self, call, target, relay, max_idle_ms, silence_share):
        try:
            stream = await self._pool.acquire(
                target.address, target.port, get_monotonic_ms(), max_idle_ms
            )
        except TargetUnreachable:
            return Refusal(Reason.TARGET_UNREACHABLE, retry_after_ms=RETRY_AFTER_MS)
        except ConnectionLimitReached:
            return Refusal(Reason.CONNECTION_LIMIT, retry_after_ms=RETRY_AFTER_MS)
        return await exchange_call(
            self._pool, stream, call, relay, self._silence_ms, silence_share
        )
