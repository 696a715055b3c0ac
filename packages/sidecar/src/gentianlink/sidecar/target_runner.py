"""Execute calls on the target beside this node, admitted by its gate."""

import asyncio
import functools

from gentianlink.core.errors import CodecError
from gentianlink.core.outcome import Outcome
from gentianlink.core.reason import Reason
from gentianlink.node.background import start_task
from gentianlink.node.clock import get_monotonic_ms
from gentianlink.node.log import get_logger
from gentianlink.node.proxy.connection_pool import get_max_idle_ms
from gentianlink.node.proxy.errors import (
    CallerGone,
    ConnectionLimitReached,
    TargetUnreachable,
)
from gentianlink.node.proxy.refusal import Refusal
from gentianlink.platform import wire
from gentianlink.platform.answer_codec import decode_rate_limit, is_leaving
from gentianlink.sidecar.admission.attempt_cost import compute_attempts_ms
from gentianlink.sidecar.admission.fair_share import NO_FLOW
from gentianlink.sidecar.answer_buffer import AnswerBuffer
from gentianlink.sidecar.send_call import send_call
from gentianlink.sidecar.status import STALE_STATE_RETRY_MS, STATUS_SERVER_ERROR
from gentianlink.sidecar.target_answer import make_target_classifier

_LOG = get_logger("gate")

FAILURE_REASONS = (
    Reason.TARGET_LOST,
    Reason.TARGET_SILENT,
    Reason.BAD_ANSWER,
    Reason.TARGET_SHED,
    Reason.OTHER_TARGET,
)
# Reasons after which the process of the target may have ended.
LOST_REASONS = (Reason.TARGET_LOST, Reason.BAD_ANSWER)
# A suspect ends about as soon as most calls do.
SUSPECT_RETRY_MS = 200
# After a lost call; a process that ends has closed its listening socket by then.
PROBE_DELAY_S = 0.15
# Longest idle time in milliseconds of a connection that is opened for a probe.
NEW_CONNECTION = 0


class TargetRunner:
    """Executes calls on the target beside this node.

    Parameters
    ----------
    local_target : LocalTarget
        The target and its gate.
    pool : ConnectionPool
        Connections to the target.
    dispatches : DispatchLog
        Calls that were sent to the target.
    guard : CrashGuard
        Knows the calls that must not be sent to the target.
    metrics : CallMetrics
        Counts refusals and records the times in the queue and at the target.
    rollouts : Rollouts
        Says whether the target may get calls; takes evidence on its version.
    arrivals : ArrivalWindow
        Counts first arrivals and repeats at the target.
    get_flow : callable, optional
        Takes the name of a tenant, empty for none; returns its Flow.
    link_mbps : float, optional
        Bandwidth of this node's link in megabits per second, 0 if unknown.
    """

    def __init__(
        self,
        local_target,
        pool,
        dispatches,
        guard,
        metrics,
        rollouts,
        arrivals,
        get_flow=lambda tenant: NO_FLOW,
        link_mbps=0.0,
    ):
        self._rollouts = rollouts
        self._arrivals = arrivals
        self._local_target = local_target
        self._pool = pool
        self._dispatches = dispatches
        self._guard = guard
        self._metrics = metrics
        self._get_flow = get_flow
        self._link_mbps = link_mbps
        self._is_probing = False
        self._is_suspect_running = False

    def get_load(self):
        """Return the load of the target beside this node."""
        return self._local_target.gate.get_load()

    async def run(self, call, hop, writer, edit_headers):
        """Execute a call; a large answer is relayed while it arrives.

        Parameters
        ----------
        call : Call
            The call.
        hop : Hop
            Target, rule and priority of the call.
        writer : AnswerWriter
            Writes to the caller, or to the node that forwarded the call.
        edit_headers : callable
            Changes the headers of the answer in place before they are relayed.

        Returns
        -------
        buffer : AnswerBuffer or None
            The complete answer; the caller of this method delivers what has not been
            relayed yet.
        refusal : Refusal or None
            Why there is no answer.
        """
        arrived_ms = get_monotonic_ms()
        gate = self._local_target.gate
        refusal = self._check(call, hop)
        if refusal is None:
            refusal = await gate.enter(
                hop,
                call.deadline_ms,
                arrived_ms,
                self._get_flow(call.headers.get(wire.TENANT, "")),
                compute_attempts_ms(len(call.body), self._link_mbps),
            )
        if refusal is not None:
            self._note_refusal(call, hop, gate, refusal)
            return None, refusal
        started_ms = get_monotonic_ms()
        self._metrics.observe(
            "gate_wait_seconds", started_ms - arrived_ms, rule=hop.rule_name
        )
        work = self._local_target.work
        work_key = None
        is_attempted = False
        is_suspect = False
        is_failure = None
        try:
            # The target may have left, or the caller given up, during the wait.
            writer.check_caller()
            refusal = self._check(call, hop)
            if refusal is not None:
                self._note_refusal(call, hop, gate, refusal)
                return None, refusal
            is_suspect = self._guard.is_suspect(call)
            self._is_suspect_running |= is_suspect
            is_attempted = True
            run = self._rollouts.begin_run(hop.rule_name)
            work_key = work.begin(hop.rule_name, started_ms)
            answer = await self._exchange(call, hop, writer, edit_headers)
            is_failure = self._note_outcome(hop, started_ms, *answer)
            ended_ms = get_monotonic_ms()
            worked_ms = ended_ms - started_ms
            work.record(hop.rule_name, worked_ms, is_failure is not False, ended_ms)
            return answer
        finally:
            work.end(work_key)
            if is_suspect:
                self._is_suspect_running = False
            now_ms = get_monotonic_ms()
            gate.leave(hop, now_ms - started_ms if is_attempted else 0.0, now_ms)
            if is_attempted:
                self._rollouts.end_run(run, is_failure)
                self._note_run(call, hop, started_ms - arrived_ms, now_ms - started_ms)

    def _note_outcome(self, hop, started_ms, buffer, refusal):
        """Record an outcome; return whether the target has not done the work."""
        now_ms = get_monotonic_ms()
        if refusal is None:
            is_failure = buffer.status >= STATUS_SERVER_ERROR
        elif refusal.reason is Reason.DEADLINE_PASSED:
            # A call that arrived with little time left is no evidence of a failure.
            is_failure = now_ms - started_ms >= hop.target_latency_ms
        else:
            is_failure = refusal.reason in FAILURE_REASONS
        self._local_target.note_outcome(is_failure, now_ms)
        # Only an answer, or a call that the target failed, is evidence on its version.
        return is_failure if is_failure or refusal is None else None

    def _note_refusal(self, call, hop, gate, refusal):
        self._metrics.count(
            "gate_refusals_total", rule=hop.rule_name, reason=refusal.reason.value
        )
        load = gate.get_load()
        _LOG.info(
            "refused at the gate",
            id=call.headers.get(wire.REQUEST_ID, ""),
            rule=hop.rule_name,
            target=hop.target_id,
            why=refusal.reason.value,
            priority=hop.priority,
            tenant=call.headers.get(wire.TENANT, ""),
            may_wait=hop.may_wait,
            in_flight=load.in_flight,
            waiting=load.waiting,
            wait_ms=round(load.wait_ms),
            rate_limit=self._local_target.rate_limit,
            retry_after_ms=refusal.retry_after_ms,
        )

    def _note_run(self, call, hop, waited_ms, worked_ms):
        self._metrics.observe("target_seconds", worked_ms, rule=hop.rule_name)
        _LOG.info(
            "run at the target",
            id=call.headers.get(wire.REQUEST_ID, ""),
            rule=hop.rule_name,
            target=hop.target_id,
            version=hop.version,
            attempt=hop.attempt,
            waited_ms=round(waited_ms, 1),
            worked_ms=round(worked_ms, 1),
        )

    def _check(self, call, hop):
        info = self._local_target.info
        if info is None or info.target_id != hop.target_id:
            return Refusal(Reason.WRONG_NODE, retry_after_ms=STALE_STATE_RETRY_MS)
        if not self._local_target.is_ready:
            return Refusal(Reason.DRAINING, retry_after_ms=STALE_STATE_RETRY_MS)
        if not self._local_target.may_connect(get_monotonic_ms()):
            return Refusal(
                Reason.TARGET_UNREACHABLE, retry_after_ms=STALE_STATE_RETRY_MS
            )
        refusal = self._rollouts.check_gate() or self._guard.check(call)
        if refusal is not None:
            return refusal
        # Two suspects at the same target could not be told apart after a crash.
        if self._is_suspect_running and self._guard.is_suspect(call):
            return Refusal(Reason.OVERLOADED, retry_after_ms=SUSPECT_RETRY_MS)
        return None

    async def _exchange(self, call, hop, writer, edit_headers):
        request_id = call.headers.get(wire.REQUEST_ID, "")
        buffer = AnswerBuffer(
            writer,
            make_target_classifier(
                request_id,
                functools.partial(self._note_headers, self._local_target.info),
            ),
            edit_headers,
            call.method == "HEAD",
        )
        max_idle_ms = get_max_idle_ms(hop.is_repeatable)
        refusal = await self._send(call, hop, buffer, request_id, max_idle_ms)
        return (buffer, None) if refusal is None else (None, refusal)

    def _note_headers(self, target, headers):
        if is_leaving(headers):
            self._local_target.note_leaving(target)
        try:
            rate_limit = decode_rate_limit(headers)
        except CodecError as error:
            _LOG.warning(
                "rate limit unreadable", target=target.target_id, why=str(error)
            )
            return
        self._local_target.note_rate_limit(target, rate_limit, get_monotonic_ms())

    async def _send(self, call, hop, buffer, request_id, max_idle_ms):
        stream, refusal = await self._connect(max_idle_ms)
        if refusal is not None:
            return refusal
        now_ms = get_monotonic_ms()
        if self._dispatches.is_fenced(request_id):
            self._pool.release(stream, True, now_ms)
            _LOG.info("fenced call not sent", id=request_id)
            return Refusal(Reason.DEADLINE_PASSED)
        self._dispatches.record(request_id, now_ms)
        self._note_arrival(hop, now_ms)
        call.headers[wire.EXPECTED_TARGET] = hop.target_id
        detector = self._local_target.crash_detector
        dispatch = detector.begin(call, now_ms)
        try:
            refusal = await send_call(self._pool, stream, call, buffer)
        except (CallerGone, asyncio.CancelledError):
            detector.note_abandoned(dispatch, get_monotonic_ms())
            raise
        is_success = refusal is None and buffer.status < STATUS_SERVER_ERROR
        self._note_end(detector, dispatch, refusal, is_success)
        return refusal

    def _note_arrival(self, hop, now_ms):
        service = self._local_target.info.service
        self._arrivals.record(service, hop.is_repeat, now_ms)
        attempt = "repeat" if hop.is_repeat else "first"
        self._metrics.count("arrivals_total", service=service, attempt=attempt)

    def _note_end(self, detector, dispatch, refusal, is_success):
        """Record whether the target has survived a call."""
        now_ms = get_monotonic_ms()
        if refusal is None:
            self._guard.note_completed(dispatch.call, is_success)
            detector.note_answered(dispatch)
        elif refusal.outcome is Outcome.NOT_RUN:
            detector.note_not_executed(dispatch)
            if refusal.reason is Reason.OTHER_TARGET:
                self._note_other_target(detector, now_ms)
        elif refusal.reason in LOST_REASONS:
            detector.note_lost(dispatch, now_ms)
            self._probe_soon(detector)
        else:
            detector.note_abandoned(dispatch, now_ms)

    def _note_other_target(self, detector, now_ms):
        """Send no calls for a while to an address that another target has."""
        if self._local_target.crash_detector is detector:
            target_id = self._local_target.info.target_id
            _LOG.warning("another target has the address", target=target_id)
            self._local_target.note_unreachable(now_ms)

    def _probe_soon(self, detector):
        """Find out whether the target still runs, unless calls show it before."""
        if not self._is_probing:
            self._is_probing = True
            start_task(self._probe(detector), "probe of the target")

    async def _probe(self, detector):
        try:
            await asyncio.sleep(PROBE_DELAY_S)
            if not detector.has_lost_calls:
                return
            stream, _ = await self._connect(NEW_CONNECTION)
            if stream is not None:
                self._pool.release(stream, True, get_monotonic_ms())
        finally:
            self._is_probing = False

    async def _connect(self, max_idle_ms):
        address, _, port = self._local_target.address.rpartition(":")
        try:
            stream = await self._pool.acquire(
                address, int(port), get_monotonic_ms(), max_idle_ms
            )
        except TargetUnreachable:
            self._local_target.note_unreachable(get_monotonic_ms())
            reason = Reason.TARGET_UNREACHABLE
            return None, Refusal(reason, retry_after_ms=STALE_STATE_RETRY_MS)
        except ConnectionLimitReached:
            reason = Reason.CONNECTION_LIMIT
            return None, Refusal(reason, retry_after_ms=STALE_STATE_RETRY_MS)
        self._local_target.note_reachable()
        return stream, None
