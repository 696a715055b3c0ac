"""Route a call by the current table: to a local target or to the node beside one."""

import attrs

from gentianlink.core.outcome import Outcome
from gentianlink.core.reason import Reason
from gentianlink.node.clock import get_monotonic_ms
from gentianlink.node.proxy.answer_relay import AnswerRelay, read_node_refusal
from gentianlink.node.proxy.connection_pool import (
    MAX_IDLE_MS,
    MAX_IDLE_NON_REPEATABLE_MS,
)
from gentianlink.node.proxy.errors import ConnectionLimitReached, TargetUnreachable
from gentianlink.node.proxy.exchange_call import exchange_call
from gentianlink.node.proxy.refusal import Refusal
from gentianlink.ops.choose import choose_endpoint

RETRY_AFTER_MS = 100
ROUTER_SILENCE_SHARE = 0.7


class Router:
    """Sends calls on their way and tries another target where that is safe.

    Parameters
    ----------
    own_record : NodeRecord
        Record of this node.
    dispatcher : Dispatcher
        Runs calls on local targets.
    pool : ConnectionPool
        Connections to other nodes.
    load : LoadView
        How busy endpoints look.
    silence_ms : int
        Longest time in milliseconds without progress of an answer.
    """

    def __init__(self, own_record, dispatcher, pool, load, silence_ms):
        self._own_record = own_record
        self._dispatcher = dispatcher
        self._pool = pool
        self._load = load
        self._silence_ms = silence_ms

    async def route(self, call, route, writer, version):
        """Route a call and relay its answer.

        Parameters
        ----------
        call : Call
            The call.
        route : Route
            Route of the current table.
        writer : AnswerWriter
            The caller's side.
        version : int
            Catalogue version of that table.

        Returns
        -------
        Refusal or None
            None if an answer was relayed whole.
        """
        tried = set()
        refusal = Refusal(Reason.NO_TARGET, retry_after_ms=RETRY_AFTER_MS)
        for attempt in range(1, route.entry.limits.retries + 2):
            if call.get_remaining_ms(get_monotonic_ms()) <= 0:
                return Refusal(Reason.DEADLINE_PASSED, refusal.outcome)
            endpoint = choose_endpoint(
                route, self._own_record.data_centre, self._load.get_load, tried
            )
            if endpoint is None:
                return refusal
            tried.add(endpoint.target_id)
            numbered = attrs.evolve(call, attempt=attempt)
            refusal = await self._try(numbered, route, endpoint, writer, version)
            if refusal is None or not _may_retry(route, refusal, writer):
                return refusal
        return refusal

    async def _try(self, call, route, endpoint, writer, version):
        self._load.begin(endpoint.target_id)
        try:
            if endpoint.node_id == self._own_record.node_id:
                return await self._dispatcher.dispatch(
                    call, route.entry, endpoint.target_id, writer, version
                )
            return await self._forward(call, route, endpoint, writer, version)
        finally:
            self._load.end(endpoint.target_id)

    async def _forward(self, call, route, endpoint, writer, version):
        is_repeatable = route.entry.work_class.is_repeatable
        max_idle_ms = MAX_IDLE_MS if is_repeatable else MAX_IDLE_NON_REPEATABLE_MS
        try:
            stream = await self._pool.acquire(
                endpoint.address, endpoint.call_port, get_monotonic_ms(), max_idle_ms
            )
        except TargetUnreachable:
            return Refusal(Reason.TARGET_UNREACHABLE, retry_after_ms=RETRY_AFTER_MS)
        except ConnectionLimitReached:
            return Refusal(Reason.CONNECTION_LIMIT, retry_after_ms=RETRY_AFTER_MS)
        relay = AnswerRelay(
            writer,
            version,
            is_head=call.method == "HEAD",
            read_refusal=read_node_refusal,
        )
        silence_share = ROUTER_SILENCE_SHARE if is_repeatable else 1.0
        refusal = await exchange_call(
            self._pool,
            stream,
            call,
            relay,
            self._silence_ms,
            silence_share,
            target_id=endpoint.target_id,
        )
        if refusal is None:
            await relay.end()
        return refusal


def _may_retry(route, refusal, writer):
    if writer.is_started:
        return False
    if refusal.outcome is Outcome.NOT_RUN:
        return refusal.reason is not Reason.DEADLINE_PASSED
    return refusal.outcome is Outcome.UNKNOWN and route.entry.work_class.is_repeatable
