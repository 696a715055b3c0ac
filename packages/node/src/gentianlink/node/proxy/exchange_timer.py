"""Timeouts of one exchange: the deadline, and the time without progress."""

import asyncio

from gentianlink.node.clock import get_monotonic_ms
from gentianlink.node.proxy.errors import ExchangeDeadlinePassed, TargetSilent

MS_PER_S = 1000


class ExchangeTimer:
    """Closes a connection at the deadline or when the answer makes no progress.

    Parameters
    ----------
    stream : ExchangeStream
        Connection of the exchange.
    relay : AnswerRelay
        Records when the answer last made progress.
    deadline_ms : float
        Deadline on the monotonic clock in milliseconds.
    silence_ms : float
        Longest time without progress in milliseconds.
    """

    def __init__(self, stream, relay, deadline_ms, silence_ms):
        self._stream = stream
        self._relay = relay
        self._deadline_ms = deadline_ms
        self._silence_ms = silence_ms
        self._handle = None
        self.error = None

    def start(self, now_ms):
        """Start the timer.

        Parameters
        ----------
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        self._relay.last_progress_ms = now_ms
        self._schedule(now_ms)

    def stop(self):
        """Stop the timer."""
        self._handle.cancel()

    def _schedule(self, now_ms):
        silence_end_ms = self._relay.last_progress_ms + self._silence_ms
        delay_ms = min(self._deadline_ms, silence_end_ms) - now_ms
        loop = asyncio.get_running_loop()
        self._handle = loop.call_later(max(0.0, delay_ms) / MS_PER_S, self._fire)

    def _fire(self):
        self.check(get_monotonic_ms())

    def check(self, now_ms):
        """Close the connection if a timeout has passed.

        While a write to the caller is pending, the target does not count as silent.

        Parameters
        ----------
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        if self._relay.is_writing:
            self._relay.last_progress_ms = now_ms
        if now_ms >= self._deadline_ms:
            self.error = ExchangeDeadlinePassed
        elif now_ms - self._relay.last_progress_ms >= self._silence_ms:
            self.error = TargetSilent
        if self.error is None:
            self._schedule(now_ms)
        else:
            self._stream.abort()
