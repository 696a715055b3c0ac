"""Execute a call on a local target, behind its gate."""

import asyncio
import functools

from tornado.httputil import HTTPHeaders

from gentianlink.core import headers as names
from gentianlink.core.outcome import Outcome
from gentianlink.core.reason import Reason
from gentianlink.core.target_state import TargetState
from gentianlink.core.work_class import WorkClass
from gentianlink.node.clock import get_monotonic_ms
from gentianlink.node.proxy.answer_relay import AnswerRelay
from gentianlink.node.proxy.answer_writer import copy_headers
from gentianlink.node.proxy.errors import TargetLost, TargetSilent, TargetUnreachable
from gentianlink.node.proxy.exchange import run_exchange
from gentianlink.node.proxy.refusal import Refusal

RETRY_AFTER_MS = 100


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
    """

    def __init__(self, local_targets, pool, claims):
        self._local_targets = local_targets
        self._pool = pool
        self._claims = claims

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
            return await self._claims.execute(call, entry, relay, run)
        relay = AnswerRelay(writer, version)
        refusal = await self._exchange(call, target, relay)
        if refusal is None:
            await relay.end()
        return refusal

    async def _exchange(self, call, target, relay):
        try:
            stream = await self._pool.acquire(target.address, target.port)
        except TargetUnreachable:
            return Refusal(Reason.TARGET_UNREACHABLE, retry_after_ms=RETRY_AFTER_MS)
        remaining_ms = call.get_remaining_ms(get_monotonic_ms())
        if remaining_ms <= 0:
            self._pool.release(target.address, target.port, stream)
            return Refusal(Reason.DEADLINE_PASSED)
        headers = make_target_headers(call, remaining_ms)
        try:
            reusable = await run_exchange(stream, call, headers, relay, remaining_ms)
        except TargetLost:
            return Refusal(Reason.TARGET_LOST, Outcome.UNKNOWN)
        except TargetSilent:
            return Refusal(Reason.TARGET_SILENT, Outcome.UNKNOWN)
        if reusable:
            self._pool.release(target.address, target.port, stream)
        else:
            stream.close()
        return None


def make_target_headers(call, remaining_ms):
    """Return the headers that a target or the node beside it receives.

    Parameters
    ----------
    call : Call
        The call.
    remaining_ms : float
        Time until the deadline in milliseconds.

    Returns
    -------
    HTTPHeaders
        End-to-end headers of the caller, with the remaining time.
    """
    headers: HTTPHeaders = copy_headers(call.headers)
    headers[names.DEADLINE_MS] = str(max(1, int(remaining_ms)))
    headers[names.ATTEMPT] = str(call.attempt)
    if call.body:
        headers["Content-Length"] = str(len(call.body))
    headers.pop("Expect", None)
    return headers


async def cancel_quietly(task):
    """Cancel a task and wait for its end.

    Parameters
    ----------
    task : asyncio.Task
        The task.
    """
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
