"""Execute the work of an idempotency key at most once."""

import asyncio

from gentianlink.node.background import start_task
from gentianlink.node.claims.claim_store import ClaimStore
from gentianlink.node.claims.recording_relay import RecordingRelay

MAX_RECORDED_BODY_BYTES = 16 * 1024


class AtMostOnce:
    """Claims a key, runs its work, and records the outcome.

    Parameters
    ----------
    table : TableClient
        The table service.
    own_record : NodeRecord
        Record of this node.
    """

    def __init__(self, table, own_record):
        self._store = ClaimStore(table, own_record)
        self._running = set()

    async def run_to_end(self, work):
        """Await work that goes on when its caller goes away.

        Parameters
        ----------
        work : coroutine
            Claim, execution and record of one call.

        Returns
        -------
        Refusal or None
            Result of the work.
        """
        task = start_task(work, "at-most-once call")
        self._running.add(task)
        task.add_done_callback(self._running.discard)
        return await asyncio.shield(task)

    async def wait_idle(self):
        """Wait until every started call has come to its end."""
        while self._running:
            await asyncio.wait(set(self._running))

    def make_relay(self, writer, version):
        """Return the relay of one at-most-once call.

        Parameters
        ----------
        writer : AnswerWriter
            The caller's side.
        version : int
            Catalogue version in force.

        Returns
        -------
        RecordingRelay
            Relay that keeps what is to be recorded.
        """
        return RecordingRelay(writer, version, MAX_RECORDED_BODY_BYTES)

    async def execute(self, call, entry, relay, run):
        """Claim the key of a call, run the call once, and record its outcome.

        Parameters
        ----------
        call : Call
            The call.
        entry : Entry
            Entry of the catalogue.
        relay : RecordingRelay
            Takes the answer.
        run : callable
            Coroutine function that sends the call to the target and returns a
            Refusal, or None if the whole answer went through `relay`. It checks the
            deadline just before it sends.

        Returns
        -------
        Refusal or None
            None if an answer, new or recorded, was relayed whole.
        """
        claim, refusal = await self._store.claim(entry, call)
        if refusal is not None:
            return refusal
        refusal = await run()
        if refusal is not None:
            return refusal
        await self._store.record_done(claim, relay.status, b"")
        await relay.end()
        return None
