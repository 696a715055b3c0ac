"""Route a call: choose a target, send the call to it, and retry where that is safe."""

import functools
import random

import attrs

from gentianlink.core.outcome import Outcome
from gentianlink.core.reason import Reason
from gentianlink.node.clock import get_boot_ms, get_monotonic_ms, get_now_ms
from gentianlink.node.failure_kind import FAILURE_KINDS
from gentianlink.node.log import get_logger
from gentianlink.node.proxy.connection_pool import get_max_idle_ms
from gentianlink.node.proxy.errors import ConnectionLimitReached, TargetUnreachable
from gentianlink.node.proxy.refusal import Refusal
from gentianlink.platform import wire
from gentianlink.sidecar.answer_buffer import AnswerBuffer
from gentianlink.sidecar.hop import HOP_HEADER, Hop, format_hop, parse_result
from gentianlink.sidecar.routing.call_progress import CallProgress, has_reached_target
from gentianlink.sidecar.routing.data_centre_loads import DataCentreLoads
from gentianlink.sidecar.routing.expected_time import CallObjective
from gentianlink.sidecar.routing.timed_choice import CallTerms
from gentianlink.sidecar.send_call import send_call
from gentianlink.sidecar.status import STALE_STATE_RETRY_MS, STATUS_SERVER_ERROR
from gentianlink.sidecar.verdict import ANSWER, BAD, FOREIGN, Verdict

_LOG = get_logger("router")

# A call whose deadline is nearer than this is not retried: it could not complete.
MIN_TIME_FOR_RETRY_MS = 30.0
# Longest wait for the confirmation that a call whose time limit has passed was not run;
# callers expect an answer within 250 ms after the time limit of the rule.
FENCE_AFTER_DEADLINE_MS = 150


class CallRouter:
    """Routes the calls that arrive at this node to targets.

    Parameters
    ----------
    directory : PeerDirectory
        Nodes and their targets.
    runner : TargetRunner
        Executes calls on the target beside this node.
    pool : ConnectionPool
        Connections to other nodes.
    load_view : LoadView
        Loads of targets.
    health : EndpointHealth
        Targets that recently failed calls of this node.
    retries : RetryShare
        This node's share of the retry budget.
    exchange : PeerExchange
        Asks nodes to fence calls; exchanges state with a node after a failed connect.
    guard : CrashGuard
        Knows the calls that must not be sent to targets.
    get_version : callable
        Returns the catalogue version in force.
    metrics : CallMetrics
        Counts refusals and retries, and where calls are sent.
    rollouts : Rollouts
        Says which targets a call may use while a version is rolled out.
    routing : RoutingSection
        Settings of the choice of targets.
    """

    def __init__(
        self,
        directory,
        runner,
        pool,
        load_view,
        health,
        retries,
        exchange,
        guard,
        get_version,
        metrics,
        rollouts,
        routing,
    ):
        self._directory = directory
        self._runner = runner
        self._pool = pool
        self._load_view = load_view
        self._health = health
        self._retries = retries
        self._exchange = exchange
        self._guard = guard
        self._get_version = get_version
        self._metrics = metrics
        self._rollouts = rollouts
        self._transfer_cost_ms = routing.transfer_cost_ms
        self._loads = DataCentreLoads()

    @property
    def data_centre_loads(self):
        """Loads of other data centres by service."""
        return self._loads

    async def route(self, call, rule, service, started_ms, is_caller_retry, writer):
        """Route a call and relay its answer.

        Parameters
        ----------
        call : Call
            The call.
        rule : Rule
            Rule that matches the call.
        service : str
            Service that the call is routed to.
        started_ms : float
            Time on the monotonic clock in milliseconds from which the target latency
            counts: the arrival of the call, or the estimated time of the caller's first
            attempt if this one is a retry.
        is_caller_retry : bool
            Whether the caller is probably retrying a call that was refused.
        writer : AnswerWriter
            Writes to the caller.

        Returns
        -------
        Refusal or None
            None if a complete answer was relayed.
        """
        self._retries.record_call(service, get_monotonic_ms())
        buffer, refusal = await self._find_answer(
            call, rule, service, started_ms, is_caller_retry, writer
        )
        if refusal is None:
            await buffer.deliver()
        return refusal

    async def _find_answer(
        self, call, rule, service, started_ms, is_caller_retry, writer
    ):
        """Return the answer to deliver and None, or None and the refusal."""
        progress = CallProgress(self._make_terms(rule, service, started_ms))
        rollout_call = self._rollouts.begin_call(service)
        # Latest 5xx answer of a target; relayed if no other target does better.
        failed_answer = None
        while True:
            refusal = self._guard.check(call)
            if refusal is not None:
                progress.note_quarantined(refusal)
                break
            writer.check_caller()
            now_ms = get_monotonic_ms()
            own_id = self._directory.own.node_id
            self._load_view.report(own_id, self._runner.get_load(), now_ms)
            choice = progress.choose(
                functools.partial(self._list_candidates, service, rollout_call, now_ms)
            )
            # A call that already has a 5xx answer is not retried at a target without
            # a free slot: it would take a slot that other calls wait for.
            should_send = choice is not None and not (
                failed_answer and choice.candidate.free < 1
            )
            if should_send and progress.sent:
                should_send = self._may_retry(
                    call, rule, service, is_caller_retry, progress, now_ms
                )
            if not should_send:
                break
            if rollout_call is not None:
                rollout_call.note_attempt()
            hop = self._make_hop(choice, rule, now_ms - started_ms, progress.sent)
            self._note_choice(call, rule, choice)
            buffer, refusal = await self._attempt(
                call, rule, service, choice, hop, writer
            )
            if refusal is None:
                if not _is_retryable_failure(rule, buffer, writer):
                    return buffer, None
                failed_answer = buffer
                self._log_failure(call, rule, choice, buffer)
                progress.note_failure(choice)
                continue
            self._note_refusal(call, rule, choice, refusal, progress)
            if writer.is_started or not call.is_replayable:
                break
            if not progress.may_try_another(refusal, rule.is_repeatable):
                break
        # An answer that has begun can't be replaced; its connection is closed instead.
        if failed_answer is not None and not writer.is_started:
            return failed_answer, None
        return None, progress.make_final_refusal()

    def _make_terms(self, rule, service, started_ms):
        left_ms = rule.target_latency_ms - (get_monotonic_ms() - started_ms)
        return CallTerms(
            CallObjective(rule.name, left_ms, rule.target_latency_ms),
            lambda name: self._loads.get_load(service, name, get_monotonic_ms()),
            self._transfer_cost_ms,
            random.random(),
        )

    def _note_choice(self, call, rule, choice):
        """Count and log where a call is sent."""
        candidate = choice.candidate
        self._metrics.count(
            "sent_total", target=candidate.target_id, rule=rule.name, why=choice.why
        )
        if candidate.is_near:
            return
        self._metrics.count(
            "left_total", data_centre=candidate.data_centre, why=choice.why
        )
        _LOG.info(
            "left the data centre",
            id=call.headers.get(wire.REQUEST_ID, ""),
            rule=rule.name,
            target=candidate.target_id,
            data_centre=candidate.data_centre,
            why=choice.why,
            near_loss_ms=round(choice.near_loss_ms),
            gain_ms=round(choice.gain_ms),
        )

    def _list_candidates(self, service, rollout_call, now_ms, is_near_only):
        candidates = self._directory.get_candidates(
            service,
            self._load_view,
            lambda target_id: self._health.is_ejected(target_id, now_ms),
            now_ms,
            get_now_ms(),
            is_near_only,
        )
        return self._rollouts.filter(service, candidates, rollout_call, is_near_only)

    def _may_retry(self, call, rule, service, is_caller_retry, progress, now_ms):
        if progress.sent >= rule.max_targets:
            return False
        if (
            call.get_remaining_ms(now_ms) < MIN_TIME_FOR_RETRY_MS
            or not call.is_replayable
        ):
            return False
        if self._guard.is_suspect(call):
            self._log_retry("suspect not repeated", call, rule, progress)
            return False
        is_granted = self._retries.try_take(service, is_caller_retry, now_ms)
        self._metrics.count(
            "retries_total", service=service, granted=str(is_granted).lower()
        )
        event = "retry" if is_granted else "retry over budget"
        self._log_retry(event, call, rule, progress)
        return is_granted

    def _log_retry(self, event, call, rule, progress):
        _LOG.info(
            event,
            id=call.headers.get(wire.REQUEST_ID, ""),
            rule=rule.name,
            after=progress.refusal.reason.value,
            sent=progress.sent,
        )

    def _make_hop(self, choice, rule, elapsed_ms, sent):
        node_id = choice.candidate.node_id
        record = self._directory.get(node_id) or self._directory.own
        return Hop(
            incarnation=record.incarnation,
            target_id=choice.candidate.target_id,
            rule_name=rule.name,
            priority=rule.priority,
            latency_ms=rule.target_latency_ms - elapsed_ms,
            target_latency_ms=rule.target_latency_ms,
            may_wait=choice.may_wait,
            is_repeatable=rule.is_repeatable,
            version=self._get_version(),
            attempt=sent + 1,
        )

    async def _attempt(self, call, rule, service, choice, hop, writer):
        candidate = choice.candidate
        has_arrived = True
        self._load_view.begin(candidate.node_id)
        try:
            if candidate.is_own:
                result = await self._runner.run(call, hop, writer, _keep_headers)
            else:
                result = await self._forward(call, rule, candidate, hop, writer)
            refusal = result[1]
            has_arrived = refusal is None or has_reached_target(refusal)
            return result
        finally:
            self._load_view.end(candidate.node_id)
            if hop.is_repeat:
                self._retries.end(service, has_arrived, get_monotonic_ms())

    async def _forward(self, call, rule, candidate, hop, writer):
        record = self._directory.get(candidate.node_id)
        address, _, port = record.forward_address.rpartition(":")
        max_idle_ms = get_max_idle_ms(hop.is_repeatable)
        try:
            stream = await self._pool.acquire(
                address, int(port), get_monotonic_ms(), max_idle_ms
            )
        except TargetUnreachable:
            self._directory.note_lost(
                candidate.node_id, "no connection for a call", get_monotonic_ms()
            )
            self._exchange.probe(record)
            reason = Reason.TARGET_UNREACHABLE
            return None, Refusal(reason, retry_after_ms=STALE_STATE_RETRY_MS)
        except ConnectionLimitReached:
            reason = Reason.CONNECTION_LIMIT
            return None, Refusal(reason, retry_after_ms=STALE_STATE_RETRY_MS)
        call.headers[HOP_HEADER] = format_hop(hop)
        buffer = AnswerBuffer(
            writer,
            self._make_classifier(candidate, call.headers.get(wire.REQUEST_ID, "")),
            _drop_hop_header,
            call.method == "HEAD",
        )
        forwarded_ms = get_boot_ms()
        refusal = await send_call(self._pool, stream, call, buffer)
        if refusal is None:
            return buffer, None
        if refusal.outcome is Outcome.UNKNOWN and not buffer.is_begun:
            refusal = await self._resolve_unknown_outcome(
                call, candidate, hop, refusal, forwarded_ms
            )
        return None, refusal

    async def _resolve_unknown_outcome(
        self, call, candidate, hop, refusal, forwarded_ms
    ):
        """Fence a call whose connection was lost, to learn whether it was executed.

        If the node beside the target confirms the fence, and remembers the calls that
        it got since this one was forwarded, the call was not dispatched and never will
        be, so its outcome is no longer unknown.
        """
        request_id = call.headers.get(wire.REQUEST_ID, "")
        timeout_ms = None
        if refusal.reason is Reason.DEADLINE_PASSED:
            timeout_ms = FENCE_AFTER_DEADLINE_MS
            # A caller that waits no longer could not repeat the call.
            if call.caller_deadline_ms < get_monotonic_ms() + 2 * timeout_ms:
                return refusal
        covered_ms = await self._exchange.fence(
            candidate.node_id,
            hop.incarnation,
            request_id,
            call.get_remaining_ms(get_monotonic_ms()),
            timeout_ms,
        )
        age_ms = get_boot_ms() - forwarded_ms
        is_fenced = age_ms < covered_ms
        _LOG.info(
            "connection to node lost",
            id=request_id,
            peer=candidate.node_id,
            why=refusal.reason.value,
            is_fenced=is_fenced,
            age_ms=round(age_ms),
            covered_ms=round(covered_ms),
        )
        if not is_fenced:
            return refusal
        return attrs.evolve(
            refusal, outcome=Outcome.NOT_RUN, retry_after_ms=STALE_STATE_RETRY_MS
        )

    def _make_classifier(self, candidate, request_id):
        node_id = candidate.node_id

        def classify(status, headers):
            if headers.get(wire.REQUEST_ID, request_id) != request_id:
                return FOREIGN
            value = headers.get(HOP_HEADER)
            if value is None:
                return BAD
            refusal, load, version = parse_result(value)
            if load is not None:
                now_ms = get_monotonic_ms()
                self._load_view.report(node_id, load, now_ms)
                self._report_data_centre(candidate, load, now_ms)
                self._directory.note_heard(node_id, version, now_ms)
            return ANSWER if refusal is None else Verdict(refusal)

        return classify

    def _report_data_centre(self, candidate, load, now_ms):
        if candidate.is_near:
            return
        record = self._directory.get(candidate.node_id)
        if record is not None and record.target is not None:
            self._loads.report(
                record.target.service,
                candidate.data_centre,
                load,
                candidate.slots,
                now_ms,
            )

    def _log_failure(self, call, rule, choice, buffer):
        _LOG.info(
            "failed by a target",
            id=call.headers.get(wire.REQUEST_ID, ""),
            rule=rule.name,
            target=choice.candidate.target_id,
            peer=choice.candidate.node_id,
            status=buffer.status,
        )

    def _note_refusal(self, call, rule, choice, refusal, progress):
        candidate = choice.candidate
        load = self._load_view.get_load(candidate.node_id, get_monotonic_ms())
        progress.note_refusal(choice, refusal, load.wait_ms)
        kind = FAILURE_KINDS.get(refusal.reason)
        if kind is not None:
            self._health.report_failure(candidate.target_id, kind, get_monotonic_ms())
        self._metrics.count(
            "refusals_total",
            reason=refusal.reason.value,
            outcome=refusal.outcome.value,
        )
        _LOG.info(
            "not answered by a target",
            id=call.headers.get(wire.REQUEST_ID, ""),
            rule=rule.name,
            target=candidate.target_id,
            peer=candidate.node_id,
            why=refusal.reason.value,
            outcome=refusal.outcome.value,
            in_flight=candidate.in_flight,
            waiting=candidate.waiting,
            may_wait=choice.may_wait,
        )


def _is_retryable_failure(rule, buffer, writer):
    """Return whether an answer is a failure that another target may be tried for."""
    is_failure = buffer.status >= STATUS_SERVER_ERROR
    return is_failure and rule.is_repeatable and not writer.is_started


def _keep_headers(headers):
    """Leave the headers of an answer from the target beside this node unchanged."""


def _drop_hop_header(headers):
    headers.pop(HOP_HEADER, None)
