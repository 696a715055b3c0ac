import os

import orjson
import structlog

from gentianlink.sidecar.call_metrics import (
    COUNTERS,
    GAUGES,
    HISTOGRAMS,
    PREFIX,
    CallMetrics,
)
from gentianlink.sidecar.line_limiter import LINES_PER_S, LineLimiter
from gentianlink.sidecar.line_writer import MAX_BUFFERED_BYTES, LineWriter
from gentianlink.sidecar.log import configure_logs


class TestLineWriter:
    def test_stalled_reader_never_blocks_the_writer(self):
        reader, descriptor = os.pipe()
        writer = LineWriter(descriptor)
        line = b"x" * 1000
        for _ in range(2 * MAX_BUFFERED_BYTES // len(line)):
            writer.write_line(line)
        assert writer.dropped > 0
        os.close(reader)
        os.close(descriptor)

    def test_lines_are_buffered_until_a_slow_reader_resumes(self):
        reader, descriptor = os.pipe()
        writer = LineWriter(descriptor)
        for number in range(100):
            writer.write_line(b"%d " % number + b"x" * 1000)
        data = b""
        while data.count(b"\n") < 100:
            data += os.read(reader, 1 << 20)
            writer.flush()
        numbers = [int(line.split()[0]) for line in data.splitlines()]
        assert numbers == list(range(100))
        assert writer.dropped == 0
        os.close(reader)
        os.close(descriptor)

    def test_closed_pipe_drops_the_line_without_an_error(self):
        reader, descriptor = os.pipe()
        os.close(reader)
        writer = LineWriter(descriptor)
        writer.write_line(b"nobody reads this")
        assert writer.dropped == 1
        os.close(descriptor)


class TestLineLimiter:
    def test_first_line_of_each_kind_is_never_suppressed(self):
        limiter = LineLimiter()
        for _ in range(10 * LINES_PER_S):
            limiter.admit(("call", ""), 0.0)
        assert limiter.admit(("call", "target-lost"), 0.0) == 0

    def test_rate_is_limited_and_suppressed_lines_are_counted(self):
        limiter = LineLimiter()
        results = [limiter.admit(("call", ""), 5.0) for _ in range(1000)]
        assert sum(item is not None for item in results) == LINES_PER_S
        assert limiter.left_out == 1000 - LINES_PER_S
        assert limiter.admit(("call", ""), 1010.0) == 1000 - LINES_PER_S

    def test_line_has_the_node_and_the_number_of_suppressed_lines(self):
        reader, descriptor = os.pipe()
        writer = LineWriter(descriptor)
        limiter = LineLimiter()
        limiter.admit(("call", ""), -5000.0)
        limiter._kinds["call", ""].left_out = 3
        configure_logs(writer, limiter, "node-1")
        structlog.get_logger(part="calls").info("call", id="id-1")
        structlog.reset_defaults()
        line = orjson.loads(os.read(reader, 4096))
        assert line["node"] == "node-1"
        assert line["id"] == "id-1"
        assert line["left_out_before"] == 3
        os.close(reader)
        os.close(descriptor)


class TestCallMetrics:
    def test_rendered_text_has_every_metric(self):
        metrics = CallMetrics()
        metrics.count("calls_total", rule="read", outcome="done", reason="")
        metrics.observe("call_seconds", 30.0, rule="read", outcome="done")
        text = metrics.render({}, dict.fromkeys(GAUGES, 1)).decode()
        for name in (*COUNTERS, *GAUGES):
            assert f"# TYPE {PREFIX}{name} " in text
        for name in HISTOGRAMS:
            assert f"# TYPE {PREFIX}{name}_bucket " in text
        line = 'call_seconds_bucket{le="0.05",outcome="done",rule="read"} 1'
        assert PREFIX + line in text
        assert 'le="0.025",outcome="done",rule="read"} 0' in text
