"""Route a call by the current table: to a local target or by way of another node."""

import attrs

from gentianlink.core.outcome import Outcome
from gentianlink.core.reason import Reason
from gentianlink.node.clock import get_monotonic_ms
from gentianlink.node.failure_kind import FAILURE_KINDS
from gentianlink.node.proxy.answer_relay import AnswerRelay, read_node_refusal
from gentianlink.node.proxy.connection_pool import get_max_idle_ms
from gentianlink.node.proxy.errors import ConnectionLimitReached, TargetUnreachable
from gentianlink.node.proxy.exchange_call import compute_silence_ms, exchange_call
from gentianlink.node.proxy.refusal import Refusal, combine_refusals
from gentianlink.node.proxy.retry_budget import RetryBudget
from gentianlink.ops.choose import NO_FREE_SLOT, choose_endpoint

RETRY_AFTER_MS = 100
SILENCE_SHARE = 0.7
FULL_TARGET_REASONS = (Reason.OVERLOADED, Reason.TARGET_SHED)
REASONS_EXEMPT_FROM_BUDGET = (Reason.DRAINING, Reason.WRONG_NODE)
NON_RETRYABLE_REASONS = (
    Reason.DEADLINE_PASSED,
    Reason.BAD_ANSWER,
    Reason.KEY_REUSED,
)


class Router:
    """Routes calls, and retries them on another target where that is safe.

    Parameters
    ----------
    own_record : NodeRecord
        Record of this node.
    dispatcher : Dispatcher
        Runs calls on local targets.
    pool : ConnectionPool
        Connections to other nodes.
    load : LoadView
        Estimated loads of the endpoints.
    health : EndpointHealth
        Ejects endpoints to which calls failed.
    silence_ms : int
        Longest time in milliseconds without progress of an answer.
    """

    def __init__(self, own_record, dispatcher, pool, load, health, silence_ms):
        self._own_record = own_record
        self._dispatcher = dispatcher
        self._pool = pool
        self._load = load
        self._health = health
        self._silence_ms = silence_ms
        self._budgets = {}
        self._retries = 0

    @property
    def retries(self):
        """Number of attempts beyond the first of each call."""
        return self._retries

    async def route(self, call, route, writer, version):
        """Route a call and relay its answer.

        Parameters
        ----------
        call : Call
            The call.
        route : Route
            Route of the current table.
        writer : AnswerWriter
            Writes to the caller's connection.
        version : int
            Catalogue version of that table.

        Returns
        -------
        Refusal or None
            None if a whole answer was relayed.
        """
        now_ms = get_monotonic_ms()
        budget = self._get_budget(route.entry.service, now_ms)
        budget.record_call(now_ms)
        tried = set()
        refusal = Refusal(Reason.NO_TARGET, retry_after_ms=RETRY_AFTER_MS)
        for attempt in range(1, route.entry.limits.retries + 2):
            now_ms = get_monotonic_ms()
            endpoint = self._choose(route, tried, now_ms)
            if endpoint is None:
                return refusal
            if attempt > 1 and not self._may_send(endpoint, budget, refusal, now_ms):
                return refusal
            tried.add(endpoint.target_id)
            numbered_call = call
            if attempt > 1:
                self._retries += 1
                numbered_call = attrs.evolve(call, attempt=call.attempt + attempt - 1)
            result = await self._try(numbered_call, route, endpoint, writer, version)
            refusal = combine_refusals(refusal, result)
            if refusal is None:
                budget.record_answer(get_monotonic_ms() - now_ms)
                return None
            is_last = not self._may_retry(call, route, refusal, writer, budget)
            refusal = attrs.evolve(refusal, attempts=refusal.attempts + attempt - 1)
            if is_last:
                break
        return refusal

    def _get_budget(self, service, now_ms):
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(now_ms)
        return budget

    def _choose(self, route, tried, now_ms):
        endpoints = self._health.get_usable_endpoints(route, now_ms)
        return choose_endpoint(
            route,
            self._own_record,
            endpoints,
            lambda endpoint: self._load.get_load(endpoint, now_ms),
            tried,
        )

    def _may_retry(self, call, route, refusal, writer, budget):
        if writer.is_started or not call.is_replayable:
            return False
        if call.attempt > 1 or refusal.attempts > 1:
            return False
        if refusal.reason in NON_RETRYABLE_REASONS:
            return False
        is_repeatable = route.entry.work_class.is_repeatable
        is_unknown = refusal.outcome is Outcome.UNKNOWN
        if refusal.outcome is Outcome.DONE or (is_unknown and not is_repeatable):
            return False
        return budget.has_time(call.get_remaining_ms(get_monotonic_ms()))

    def _may_send(self, endpoint, budget, refusal, now_ms):
        if refusal.reason in REASONS_EXEMPT_FROM_BUDGET:
            return True
        is_full = self._load.get_load(endpoint, now_ms) >= NO_FREE_SLOT
        if refusal.reason in FULL_TARGET_REASONS and is_full:
            return False
        return budget.try_take()

    async def _try(self, call, route, endpoint, writer, version):
        target_id = endpoint.target_id
        self._load.begin(target_id, get_monotonic_ms())
        try:
            if endpoint.node_id == self._own_record.node_id:
                refusal = await self._dispatcher.dispatch(
                    call, route.entry, target_id, writer, version
                )
            else:
                refusal = await self._forward(call, route, endpoint, writer, version)
        finally:
            now_ms = get_monotonic_ms()
            self._load.end(target_id, now_ms)
        self._report(endpoint, refusal, now_ms)
        return refusal

    def _report(self, endpoint, refusal, now_ms):
        if refusal is None:
            self._health.report_success(endpoint.target_id, now_ms)
            return
        if refusal.reason in FULL_TARGET_REASONS:
            self._load.report(endpoint, 0, now_ms)
        kind = FAILURE_KINDS.get(refusal.reason)
        if kind is not None:
            self._health.report_failure(endpoint.target_id, kind, now_ms)

    async def _forward(self, call, route, endpoint, writer, version):
        is_repeatable = route.entry.work_class.is_repeatable
        max_idle_ms = get_max_idle_ms(is_repeatable)
        try:
            stream = await self._pool.acquire(
                endpoint.address, endpoint.call_port, get_monotonic_ms(), max_idle_ms
            )
        except TargetUnreachable:
            return Refusal(Reason.TARGET_UNREACHABLE, retry_after_ms=RETRY_AFTER_MS)
        except ConnectionLimitReached:
            return Refusal(Reason.CONNECTION_LIMIT, retry_after_ms=RETRY_AFTER_MS)
        silence_ms = self._silence_ms
        if is_repeatable:
            now_ms = get_monotonic_ms()
            mean_ms = self._get_budget(route.entry.service, now_ms).mean_ms
            remaining_ms = call.get_remaining_ms(now_ms)
            silence_ms = compute_silence_ms(
                silence_ms, remaining_ms, SILENCE_SHARE, mean_ms
            )
        relay = AnswerRelay(
            writer,
            version,
            is_head=call.method == "HEAD",
            read_refusal=read_node_refusal,
        )
        refusal = await exchange_call(
            self._pool,
            stream,
            call,
            relay,
            silence_ms,
            target_id=endpoint.target_id,
        )
        if relay.free_slots is not None:
            self._load.report(endpoint, relay.free_slots, get_monotonic_ms())
        if refusal is None:
            await relay.end()
        return refusal
