"""Structured logging to standard output, rate limited and non-blocking."""

import orjson
import structlog

from gentianlink.node.clock import get_monotonic_ms


class _WriterLogger:
    """Adapter that passes rendered structlog events to a LineWriter."""

    def __init__(self, writer):
        self._writer = writer

    def msg(self, line):
        self._writer.write_line(line)

    debug = info = warning = error = critical = msg


def configure_logs(writer, limiter, node_id):
    """Configure structlog for the process.

    Parameters
    ----------
    writer : LineWriter
        Writes the rendered lines.
    limiter : LineLimiter
        Limits the rate of lines of each kind.
    node_id : str
        Name of this node, added to each line that has none.
    """

    def limit(logger, method_name, event):
        kind = event["event"], event.get("why", "")
        left_out = limiter.admit(kind, get_monotonic_ms())
        if left_out is None:
            raise structlog.DropEvent
        if left_out:
            event["left_out_before"] = left_out
        event["node"] = event.get("node", node_id)
        return event

    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            limit,
            structlog.processors.format_exc_info,
            structlog.processors.TimeStamper(fmt="iso"),
            _render,
        ],
        wrapper_class=structlog.make_filtering_bound_logger("info"),
        logger_factory=lambda *names: _WriterLogger(writer),
        # The loggers that are used before the settings are known are not kept.
        cache_logger_on_first_use=bool(node_id),
    )


def _render(logger, method_name, event):
    return orjson.dumps(event, default=str)
