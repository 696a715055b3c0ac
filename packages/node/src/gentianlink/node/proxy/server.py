"""The HTTP server for calls, over tornado's connection layer."""

from gentianlink.core import headers as names
from gentianlink.core.reason import Reason
from gentianlink.node.clock import get_monotonic_ms
from gentianlink.node.log import get_logger
from gentianlink.node.proxy.call_counts import CallCounts
from gentianlink.node.proxy.call_parser import (
    parse_deadline_ms,
    validate_key,
    validate_request,
)
from gentianlink.node.proxy.entry_limiter import EntryLimiter
from gentianlink.node.proxy.refusal import Refusal
from gentianlink.node.proxy.request_server import NOT_READY_RETRY_MS, RequestServer
from gentianlink.ops.build_table import get_route

_LOG = get_logger("proxy")


class CallServer(RequestServer):
    """Accepts calls and passes each to the router.

    Parameters
    ----------
    router : Router
        Routes calls.
    dispatcher : Dispatcher
        Runs calls that another node has forwarded to a local target.
    get_table : callable
        Returns the current routing table.
    is_ready : callable
        Returns whether this node is ready to serve calls.
    """

    def __init__(self, router, dispatcher, get_table, is_ready):
        super().__init__()
        self._router = router
        self._dispatcher = dispatcher
        self._get_table = get_table
        self._is_ready = is_ready
        self._limiter = EntryLimiter()
        self._counts = CallCounts()

    @property
    def outcomes(self):
        """Numbers of calls by outcome."""
        return self._counts.outcomes

    @property
    def counts(self):
        """Numbers of calls by class, outcome and reason."""
        return self._counts

    def count(self, reader, refusal):
        """Count a call by class, outcome and reason."""
        self._counts.record_call(reader.work_class, refusal)
        if refusal is not None:
            _LOG.debug(
                "call refused",
                path=reader.path,
                why=refusal.reason.value,
                outcome=refusal.outcome.value,
            )

    def check(self, reader):
        """Return why a call is refused before any work is done for it.

        Parameters
        ----------
        reader : CallReader
            Has read the headers of the call.

        Returns
        -------
        Refusal or None
            None if the call can be served.
        """
        refusal = validate_request(reader.start_line, reader.headers)
        if refusal is not None:
            return refusal
        if not self._is_ready():
            return Refusal(Reason.NOT_READY, retry_after_ms=NOT_READY_RETRY_MS)
        route = get_route(self._get_table(), reader.path)
        if route is None:
            return Refusal(Reason.NO_ROUTE)
        entry = route.entry
        reader.work_class = entry.work_class
        max_bytes = entry.limits.body_max_bytes
        if entry.work_class.is_repeatable:
            reader.set_body_limits(max_bytes)
        else:
            reader.set_body_limits(max_bytes, max_bytes, must_buffer=True)
        if reader.body_bytes > max_bytes:
            return Refusal(Reason.BODY_TOO_LARGE)
        if parse_deadline_ms(reader.headers, entry.limits.deadline_ms) is None:
            return Refusal(Reason.BAD_DEADLINE)
        key = reader.headers.get(names.IDEMPOTENCY_KEY, "")
        return validate_key(key, entry.work_class)

    async def serve(self, reader, writer):
        """Serve one call by its route, or on the local target that its header names."""
        refusal = self.check(reader)
        if refusal is not None:
            return refusal
        table = self._get_table()
        route = get_route(table, reader.path)
        remaining_ms = parse_deadline_ms(reader.headers, route.entry.limits.deadline_ms)
        call = reader.make_call(remaining_ms)
        target_id = reader.headers.get(names.TARGET)
        if target_id is not None:
            return await self._dispatcher.dispatch(
                call, route.entry, target_id, writer, table.version
            )
        refusal = self._limiter.enter(route.entry, call.caller, get_monotonic_ms())
        if refusal is not None:
            return refusal
        try:
            return await self._router.route(call, route, writer, table.version)
        finally:
            self._limiter.leave(route.entry, call.caller)
