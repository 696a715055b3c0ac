"""Route a call by the current table: to a local target or to the node beside one."""

import attrs

from gentianlink.core import headers as names
from gentianlink.core.outcome import Outcome
from gentianlink.core.reason import Reason
from gentianlink.node.clock import get_monotonic_ms
from gentianlink.node.proxy.answer_relay import AnswerRelay
from gentianlink.node.proxy.dispatcher import make_target_headers
from gentianlink.node.proxy.errors import TargetLost, TargetSilent, TargetUnreachable
from gentianlink.node.proxy.exchange import run_exchange
from gentianlink.node.proxy.refusal import Refusal
from gentianlink.ops.choose import choose_endpoint

RETRY_AFTER_MS = 100


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
    """

    def __init__(self, own_record, dispatcher, pool, load):
        self._own_record = own_record
        self._dispatcher = dispatcher
        self._pool = pool
        self._load = load

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
            return await self._forward(call, endpoint, writer, version)
        finally:
            self._load.end(endpoint.target_id)

    async def _forward(self, call, endpoint, writer, version):
        try:
            stream = await self._pool.acquire(endpoint.address, endpoint.call_port)
        except TargetUnreachable:
            return Refusal(Reason.TARGET_UNREACHABLE, retry_after_ms=RETRY_AFTER_MS)
        remaining_ms = max(1.0, call.get_remaining_ms(get_monotonic_ms()))
        headers = make_target_headers(call, remaining_ms)
        headers[names.TARGET] = endpoint.target_id
        relay = AnswerRelay(writer, version)
        try:
            reusable = await run_exchange(stream, call, headers, relay, remaining_ms)
        except TargetLost:
            return Refusal(Reason.TARGET_LOST, Outcome.UNKNOWN)
        except TargetSilent:
            return Refusal(Reason.TARGET_SILENT, Outcome.UNKNOWN)
        if reusable:
            self._pool.release(endpoint.address, endpoint.call_port, stream)
        else:
            stream.close()
        if relay.is_not_run:
            return _read_refusal(relay.headers)
        await relay.end()
        return None


def _may_retry(route, refusal, writer):
    if writer.is_started:
        return False
    if refusal.outcome is Outcome.NOT_RUN:
        return refusal.reason is not Reason.DEADLINE_PASSED
    return refusal.outcome is Outcome.UNKNOWN and route.entry.work_class.is_repeatable


def _read_refusal(headers):
    try:
        reason = Reason(headers.get(names.REASON, ""))
    except ValueError:
        reason = Reason.OVERLOADED
    retry_after = headers.get(names.RETRY_AFTER_MS, "")
    retry_after_ms = int(retry_after) if retry_after.isdigit() else 0
    return Refusal(reason, Outcome.NOT_RUN, retry_after_ms)
