"""The server for calls that other nodes forward to the target beside this node."""

from gentianlink.core.reason import Reason
from gentianlink.core.rule_set import UNLIMITED_BYTES
from gentianlink.node.clock import get_monotonic_ms
from gentianlink.node.proxy.refusal import Refusal
from gentianlink.node.proxy.request_server import RequestServer
from gentianlink.platform import wire
from gentianlink.sidecar.call_reader import (
    WHOLE_BODY_BYTES,
    SidecarCallReader,
    parse_deadline_ms,
)
from gentianlink.sidecar.hop import HOP_HEADER, format_result, parse_hop
from gentianlink.sidecar.status import STALE_STATE_RETRY_MS, STATUS_UNAVAILABLE


class ForwardServer(RequestServer):
    """Receives forwarded calls and executes them on the target.

    Parameters
    ----------
    runner : TargetRunner
        Executes calls on the target.
    get_load : callable
        Returns the load of the target.
    holder : RuleHolder
        Holds the rules in force and their catalogue version.
    on_version : callable
        Called with the IP address of the sending node and the catalogue version in
        force there.
    incarnation : int
        Incarnation of this node.
    stop_plan : StopPlan
        Says which calls are taken while the process stops.
    """

    reader_type = SidecarCallReader

    def __init__(self, runner, get_load, holder, on_version, incarnation, stop_plan):
        super().__init__()
        self._runner = runner
        self._get_load = get_load
        self._holder = holder
        self._on_version = on_version
        self._incarnation = incarnation
        self._stop_plan = stop_plan

    def check(self, reader):
        """Accept a body of any size: the other node has checked it."""
        reader.set_body_limits(UNLIMITED_BYTES, WHOLE_BODY_BYTES)

    async def serve(self, reader, writer):
        """Execute one call on the target beside this node."""
        hop = parse_hop(reader.headers.get(HOP_HEADER, ""))
        remaining_ms = parse_deadline_ms(reader.headers)
        if hop is None or remaining_ms is None:
            return Refusal(Reason.BAD_REQUEST)
        self._on_version(reader.remote_address, hop.version)
        if hop.incarnation != self._incarnation:
            return Refusal(Reason.WRONG_NODE, retry_after_ms=STALE_STATE_RETRY_MS)
        deadline_ms = reader.started_ms + remaining_ms
        now_ms = get_monotonic_ms()
        limit_ms = deadline_ms - now_ms
        # The other node can send any call to another target.
        if not self._stop_plan.may_take(limit_ms, limit_ms, False, now_ms):
            return Refusal(Reason.DRAINING, retry_after_ms=STALE_STATE_RETRY_MS)
        call = reader.make_bounded_call(deadline_ms)
        del call.headers[HOP_HEADER]
        buffer, refusal = await self._runner.run(call, hop, writer, self._add_result)
        if refusal is None:
            await buffer.deliver()
        return refusal

    def _add_result(self, headers):
        headers[HOP_HEADER] = self._format_result(None)

    def _format_result(self, refusal):
        return format_result(refusal, self._get_load(), self._holder.version)

    async def write_refusal(self, reader, writer, refusal):
        """Send the refusal to the node that forwarded the call."""
        headers = {HOP_HEADER: self._format_result(refusal)}
        if reader.request_id:
            headers[wire.REQUEST_ID] = reader.request_id
        await writer.write_whole(STATUS_UNAVAILABLE, headers, "")
