import asyncio

import attrs
import pytest

from gentianlink.node.proxy.errors import ExchangeDeadlinePassed, TargetSilent
from gentianlink.node.proxy.exchange_timer import ExchangeTimer


@attrs.define
class FakeRelay:
    last_progress_ms: float = 0.0
    is_writing: bool = False


@attrs.define
class FakeStream:
    is_closed: bool = False

    def abort(self):
        self.is_closed = True


def check(now_ms, last_progress_ms=0.0, is_writing=False):
    async def run():
        stream = FakeStream()
        relay = FakeRelay()
        timer = ExchangeTimer(stream, relay, deadline_ms=1e6, silence_ms=100)
        timer.start(0.0)
        relay.last_progress_ms = last_progress_ms
        relay.is_writing = is_writing
        timer.check(now_ms)
        timer.stop()
        return timer.error, stream.is_closed

    return asyncio.run(run())


class TestExchangeTimer:
    @pytest.mark.parametrize(
        ("now_ms", "last_progress_ms", "is_writing", "error"),
        [
            (99, 0, False, None),
            (100, 0, False, TargetSilent),
            (100, 1, False, None),
            (5000, 0, True, None),
            (1e6, 1e6 - 1, False, ExchangeDeadlinePassed),
            (1e6, 0, True, ExchangeDeadlinePassed),
            (2e6, 0, False, ExchangeDeadlinePassed),
        ],
    )
    def test_silence_and_deadline_are_distinguished(
        self, now_ms, last_progress_ms, is_writing, error
    ):
        assert check(now_ms, last_progress_ms, is_writing) == (error, error is not None)
