"""Request handlers whose server misbehaves on command."""

import asyncio

import orjson
from tornado.web import Finish, RequestHandler

from gentianlink.core.codec import decode
from gentianlink.testing.faults import Faults

STATUS_UNAVAILABLE = 503
FROZEN_S = 3600


class FaultState:
    """The faults in force of one stand-in."""

    def __init__(self):
        self.faults = Faults()


class FaultHandler(RequestHandler):
    """Base class of handlers that take faults."""

    def initialize(self, state, fault_state):
        """Take over the state of the stand-in."""
        self.state = state
        self._fault_state = fault_state

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
            self.request.connection.stream.close()
            raise Finish
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
