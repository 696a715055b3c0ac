"""The server for calls from callers, including the target beside this node."""

import attrs

from gentianlink.core.reason import Reason
from gentianlink.core.rule_set import UNLIMITED_BYTES
from gentianlink.node.clock import get_monotonic_ms
from gentianlink.node.log import get_logger
from gentianlink.node.proxy.buffer_budget import BufferBudget
from gentianlink.node.proxy.call_parser import validate_request
from gentianlink.node.proxy.refusal import Refusal, is_not_run
from gentianlink.node.proxy.request_server import RequestServer
from gentianlink.platform import wire
from gentianlink.sidecar.call_reader import (
    WHOLE_BODY_BYTES,
    parse_deadline_ms,
)
from gentianlink.sidecar.callers.caller_answer import format_retry_after, get_status
from gentianlink.sidecar.callers.caller_connection import CallerConnection
from gentianlink.sidecar.callers.caller_retry_estimator import CallerRetryEstimator
from gentianlink.sidecar.callers.ordered_writer import OrderedWriter
from gentianlink.sidecar.callers.pipeline import MAX_TOTAL_BYTES
from gentianlink.sidecar.callers.pipelined_reader import PipelinedReader
from gentianlink.sidecar.callers.pipelined_stream import PipelinedStream
from gentianlink.sidecar.hop import HOP_HEADER
from gentianlink.sidecar.rule_holder import find_rule
from gentianlink.sidecar.tenants.authenticate import authenticate

_LOG = get_logger("calls")

NOT_READY_RETRY_MS = 200


class CallerServer(RequestServer):
    """Receives calls, finds their rules and passes them to the router.

    Parameters
    ----------
    get_rules : callable
        Returns the rules in force, None before the first catalogue version.
    splitter : Splitter
        Chooses a service for each call by the weights of its rule.
    router : CallRouter
        Routes calls.
    service : str
        Service of this instance, sent to targets as the calling service.
    quota : QuotaGate
        Keeps the limits of tenants.
    metrics : CallMetrics
        Counts calls and records their durations.
    stop_plan : StopPlan
        Says which calls are taken while the process stops.
    get_work_ms : callable
        Takes the name of a rule; returns its typical time in milliseconds, 0 if
        unknown.
    """

    reader_type = PipelinedReader
    stream_type = PipelinedStream
    writer_type = OrderedWriter

    def __init__(
        self,
        get_rules,
        splitter,
        router,
        service,
        quota,
        metrics,
        stop_plan,
        get_work_ms,
    ):
        super().__init__()
        self._get_rules = get_rules
        self._splitter = splitter
        self._router = router
        self._service = service
        self._quota = quota
        self._metrics = metrics
        self._stop_plan = stop_plan
        self._get_work_ms = get_work_ms
        self._retry_estimator = CallerRetryEstimator()
        self._is_refusing = False
        self._pipelined_budget = BufferBudget(MAX_TOTAL_BYTES)

    @property
    def is_closing(self):
        """Whether connections are closed after the next answer."""
        return self._stop_plan.is_stopping

    @property
    def pipelined_bytes(self):
        """Bytes of pipelined requests and of answers that wait for their turn."""
        return self._pipelined_budget.used_bytes

    async def serve_stream(self, stream, remote_address):
        """Serve the requests of one connection, pipelined ones concurrently."""
        await CallerConnection(
            self, stream, remote_address, self._pipelined_budget, self._metrics
        ).run()

    def sweep(self, now_ms):
        """Close connections that are idle, or that take no byte of their answers."""
        super().sweep(now_ms)
        for stream in list(self._streams):
            if stream.is_stalled(now_ms):
                _LOG.info("caller does not read its answers")
                stream.close()

    def note_caller_gone(self, reader):
        """Close the connection of a caller that has left, which cancels its calls."""
        super().note_caller_gone(reader)
        reader.connection.stream.close()

    def find_rule(self, reader):
        """Return the rules in force and the rule of a request, None if there is none.

        Parameters
        ----------
        reader : PipelinedReader
            Has read the head of the request.

        Returns
        -------
        rules : RuleSet or None
            Rules in force.
        rule : Rule or None
            Rule of the request.
        """
        rules = self._get_rules()
        if rules is None:
            return None, None
        host = reader.headers.get("Host", "")
        return rules, find_rule(rules, host, reader.path)

    def refuse_new_calls(self):
        """Refuse all calls that arrive from now on."""
        self._is_refusing = True

    def check(self, reader):
        """Set the limits of the body; refuse a call whose body is too large."""
        rules = self._get_rules()
        max_bytes = UNLIMITED_BYTES if rules is None else rules.max_body_bytes
        reader.set_body_limits(max_bytes, WHOLE_BODY_BYTES)
        if reader.body_bytes > max_bytes:
            return Refusal(Reason.BODY_TOO_LARGE)
        return None

    def note_early_refusal(self, reader, refusal):
        """Count and log a call that is refused while its body arrives."""
        self._note_unrouted(reader, refusal)

    async def serve(self, reader, writer):
        """Route one call."""
        if self.is_closing:
            reader.connection.close_after_answer()
        refusal = validate_request(reader.start_line, reader.headers)
        if refusal is not None:
            return refusal
        rules, rule = reader.rules, reader.rule
        if rules is not self._get_rules():
            rules, rule = self.find_rule(reader)
        if rules is None or self._is_refusing:
            return self._refuse(reader, Reason.NOT_READY, NOT_READY_RETRY_MS)
        if rule is None:
            return self._refuse(reader, Reason.NO_ROUTE, 0)
        if not rule.is_repeatable:
            # Only after a change of the rules is this not the first request already.
            reader.request.blocks_later = True
            await writer.wait_turn()
        allowed_ms = parse_deadline_ms(reader.headers)
        deadline_ms = reader.started_ms + rule.timeout_ms
        caller_deadline_ms = 0.0
        if allowed_ms is not None:
            caller_deadline_ms = reader.started_ms + allowed_ms
            deadline_ms = min(deadline_ms, caller_deadline_ms)
        if not self._may_take(rule, deadline_ms, get_monotonic_ms()):
            return self._refuse(reader, Reason.DRAINING, NOT_READY_RETRY_MS)
        # The caller gets an answer also if the call takes longer than was likely.
        deadline_ms = min(deadline_ms, self._stop_plan.end_ms)
        tenant, refusal = authenticate(rules, rule, reader.headers)
        if refusal is None and tenant is not None and tenant.is_limited:
            refusal = await self._quota.take(tenant, get_monotonic_ms())
        if refusal is not None:
            return self._refuse(reader, refusal.reason, refusal.retry_after_ms, tenant)
        if tenant is not None and tenant.priority is not None:
            rule = attrs.evolve(rule, priority=tenant.priority)
        call = reader.make_bounded_call(deadline_ms, caller_deadline_ms)
        call.headers.pop(HOP_HEADER, None)
        call.headers[wire.CALLING_SERVICE] = self._service
        elapsed_ms = self._retry_estimator.estimate_elapsed_ms(rule.name, allowed_ms)
        service = self._splitter.choose(rule)
        refusal = await self._router.route(
            call,
            rule,
            service,
            reader.started_ms - elapsed_ms,
            elapsed_ms > 0,
            writer,
        )
        if tenant is not None and tenant.is_limited and is_not_run(refusal):
            self._quota.give_back(tenant, get_monotonic_ms())
        self._record_call(reader, rule, service, rules.version, elapsed_ms, refusal)
        return refusal

    def _may_take(self, rule, deadline_ms, now_ms):
        if not self._stop_plan.is_stopping:
            return True
        likely_ms = max(rule.target_latency_ms, self._get_work_ms(rule.name))
        return self._stop_plan.may_take(
            deadline_ms - now_ms, likely_ms, rule.is_repeatable, now_ms
        )

    def _refuse(self, reader, reason, retry_after_ms, tenant=None):
        refusal = Refusal(reason, retry_after_ms=retry_after_ms)
        self._note_unrouted(reader, refusal, tenant)
        return refusal

    def _note_unrouted(self, reader, refusal, tenant=None):
        self._metrics.count(
            "calls_total",
            rule="",
            outcome=refusal.outcome.value,
            reason=refusal.reason.value,
        )
        _LOG.info(
            "call refused before routing",
            id=reader.request_id,
            host=reader.headers.get("Host", ""),
            path=reader.path,
            tenant="" if tenant is None else tenant.name,
            body_bytes=reader.body_bytes,
            why=refusal.reason.value,
            retry_after_ms=refusal.retry_after_ms,
        )

    def _record_call(self, reader, rule, service, version, elapsed_ms, refusal):
        outcome = "done" if refusal is None else refusal.outcome.value
        why = "" if refusal is None else refusal.reason.value
        duration_ms = get_monotonic_ms() - reader.started_ms
        self._metrics.count("calls_total", rule=rule.name, outcome=outcome, reason=why)
        self._metrics.observe(
            "call_seconds", duration_ms, rule=rule.name, outcome=outcome
        )
        _LOG.info(
            "call",
            id=reader.request_id,
            rule=rule.name,
            service=service,
            version=version,
            elapsed_before_ms=round(elapsed_ms),
            ms=round(duration_ms, 1),
            outcome=outcome,
            why=why,
            retry_after_ms=0 if refusal is None else refusal.retry_after_ms,
        )

    async def write_refusal(self, reader, writer, refusal):
        """Answer with the status and reason of a refusal, and when to retry."""
        extra = {}
        if refusal.retry_after_ms:
            extra["Retry-After"] = format_retry_after(refusal.retry_after_ms)
        await writer.write_whole(get_status(refusal), extra, refusal.reason.value)
