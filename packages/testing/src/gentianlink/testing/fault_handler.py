"""Request handlers whose server misbehaves on command."""

import asyncio
import time

import orjson
from tornado.web import Finish, RequestHandler

from gentianlink.core.codec import decode
from gentianlink.testing.faults import Faults
from gentianlink.testing.rate_queue import RateQueue
from gentianlink.testing.table_limits import TableLimits

STATUS_UNAVAILABLE = 503
FROZEN_S = 3600


class FaultState:
    """The faults and limits in force of one stand-in."""

    def __init__(self):
        self.faults = Faults()
        self.set_limits(TableLimits())

    def set_limits(self, limits):
        """Replace the limits, with empty queues."""
        self.limits = limits
        self.writes = RateQueue(limits.writes_per_s, limits.max_wait_ms)
        self.reads = RateQueue(limits.reads_per_s, limits.max_wait_ms)


class FaultHandler(RequestHandler):
    """Base class of handlers that take faults."""

    def initialize(self, state, fault_state):
        """Take over the state of the stand-in."""
        self.state = state
        self._fault_state = fault_state

    @property
    def fault_state(self):
        """Faults and limits in force."""
        return self._fault_state

    async def wait_in_queue(self, queue, units=1):
        """Wait for this request's turn, or refuse it."""
        delay_ms = queue.compute_delay_ms(units, time.monotonic() * 1000)
        if delay_ms is None:
            self.set_status(STATUS_UNAVAILABLE)
            raise Finish
        if delay_ms:
            await asyncio.sleep(delay_ms / 1000)

    def lose_answer(self):
        """Close the connection without an answer."""
        self.request.connection.stream.close()
        raise Finish

    async def prepare(self):
        """Misbehave before the request takes effect."""
        faults = self._fault_state.faults
        if faults.frozen:
            await asyncio.sleep(FROZEN_S)
        if faults.delay_ms:
            await asyncio.sleep(faults.delay_ms / 1000)
        if faults.down:
            self.set_status(STATUS_UNAVAILABLE)
            raise Finish

    def answer(self, value, status=200):
        """Answer in JSON, or lose the answer after the effect."""
        if self._fault_state.faults.lose_answers:
            self.lose_answer()
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(orjson.dumps(value))


class FaultsHandler(RequestHandler):
    """Takes the commands that set faults."""

    def initialize(self, fault_state):
        """Take over the faults in force."""
        self._fault_state = fault_state

    def put(self):
        """Replace the faults in force."""
        self._fault_state.faults = decode(self.request.body, Faults)


class LimitsHandler(RequestHandler):
    """Takes the commands that set limits."""

    def initialize(self, fault_state):
        """Take over the limits in force."""
        self._fault_state = fault_state

    def put(self):
        """Replace the limits in force."""
        self._fault_state.set_limits(decode(self.request.body, TableLimits))
