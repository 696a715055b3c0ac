"""Request handlers with fault injection and rate limits, set over HTTP."""

import asyncio
import time

import orjson
from tornado.web import Finish, RequestHandler

from gentianlink.core.codec import decode
from gentianlink.testing.faults import Faults
from gentianlink.testing.rate_queue import RateQueue
from gentianlink.testing.table_limits import TableLimits

STATUS_UNAVAILABLE = 503
FREEZE_S = 3600


class FaultState:
    """Faults and rate limits in force at one stand-in."""

    def __init__(self):
        self.faults = Faults()
        self.set_limits(TableLimits())

    def set_limits(self, limits):
        """Replace the rate limits and start with empty queues."""
        self.limits = limits
        self.writes = RateQueue(limits.writes_per_s, limits.max_wait_ms)
        self.reads = RateQueue(limits.reads_per_s, limits.max_wait_ms)


class FaultHandler(RequestHandler):
    """Base class of handlers that apply the faults in force."""

    def initialize(self, state, fault_state):
        """Store the data and the fault state of the stand-in."""
        self.state = state
        self._fault_state = fault_state

    @property
    def fault_state(self):
        """Faults and rate limits in force."""
        return self._fault_state

    async def wait_in_queue(self, queue, units=1):
        """Wait for the request's turn; answer status 503 if the queue is too long."""
        delay_ms = queue.compute_delay_ms(units, time.monotonic() * 1000)
        if delay_ms is None:
            self.set_status(STATUS_UNAVAILABLE)
            raise Finish
        if delay_ms:
            await asyncio.sleep(delay_ms / 1000)

    def lose_answer(self):
        """Close the connection without an answer and end the request."""
        self.request.connection.stream.close()
        raise Finish

    async def prepare(self):
        """Apply the faults that precede the effect of the request."""
        faults = self._fault_state.faults
        if faults.frozen:
            await asyncio.sleep(FREEZE_S)
        if faults.delay_ms:
            await asyncio.sleep(faults.delay_ms / 1000)
        if faults.down:
            self.set_status(STATUS_UNAVAILABLE)
            raise Finish

    def answer(self, value, status=200):
        """Send a JSON answer, or close the connection if answers are to be lost."""
        if self._fault_state.faults.lose_answers:
            self.lose_answer()
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(orjson.dumps(value))


class FaultsHandler(RequestHandler):
    """Sets the faults of a stand-in."""

    def initialize(self, fault_state):
        """Store the fault state that the handler changes."""
        self._fault_state = fault_state

    def put(self):
        """Replace the faults in force with those of the body."""
        self._fault_state.faults = decode(self.request.body, Faults)


class LimitsHandler(RequestHandler):
    """Sets the rate limits of a stand-in."""

    def initialize(self, fault_state):
        """Store the fault state whose limits the handler changes."""
        self._fault_state = fault_state

    def put(self):
        """Replace the rate limits in force with those of the body."""
        self._fault_state.set_limits(decode(self.request.body, TableLimits))
