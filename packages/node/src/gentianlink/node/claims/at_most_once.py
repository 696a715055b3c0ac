"""At-most-once execution of calls by idempotency key."""

import asyncio
import functools
import uuid

import attrs

from gentianlink.core.errors import PlatformError
from gentianlink.core.outcome import Outcome
from gentianlink.core.reason import Reason
from gentianlink.node.background import start_task
from gentianlink.node.claims.claim import Claim, compute_call_digest
from gentianlink.node.claims.claim_acquirer import ClaimAcquirer, wait_until_done
from gentianlink.node.claims.claim_state import ClaimState
from gentianlink.node.claims.claim_table import ClaimTable
from gentianlink.node.claims.errors import ClaimError, ClaimNotMade
from gentianlink.node.claims.found_claim import FoundClaim
from gentianlink.node.claims.recorded_answer import make_recorded_answer
from gentianlink.node.claims.recording_relay import RecordingRelay
from gentianlink.node.claims.repeat import compute_repeat_refusal
from gentianlink.node.claims.retention import is_expired
from gentianlink.node.claims.settler import Settler
from gentianlink.node.claims.store_breaker import StoreBreaker
from gentianlink.node.claims.writers import make_writer
from gentianlink.node.clock import get_monotonic_ms, get_now_ms
from gentianlink.node.proxy.refusal import Refusal

RETRY_AFTER_MS = 500
STOP_TIMEOUT_MS = 5000
MS_PER_HOUR = 3_600_000


class AtMostOnce:
    """Claims the key of a call, executes the call and records its result.

    Parameters
    ----------
    own_record : NodeRecord
        Record of this node.
    table : ClaimTable
        Claim rows.
    settler : Settler
        Retries writes in the background.
    counts : ClaimCounts
        Counters for the metrics.
    is_live : callable
        Takes a Claim and returns whether its holder may still be running.
    settings : ClaimSettings
        Section ``claims`` of the settings.
    breaker : StoreBreaker
        Refuses while the table service does not answer.
    get_now_ms : callable, optional
        Returns the present time in milliseconds since the epoch.
    wait_until_done : callable, optional
        Coroutine function that waits for a task with a timeout.
    """

    def __init__(
        self,
        own_record,
        table,
        settler,
        counts,
        is_live,
        settings,
        breaker,
        get_now_ms=get_now_ms,
        wait_until_done=wait_until_done,
    ):
        self._own_record = own_record
        self._table = table
        self._settler = settler
        self._counts = counts
        self._is_live = is_live
        self._settings = settings
        self._breaker = breaker
        self._get_now_ms = get_now_ms
        self._acquirer = ClaimAcquirer(table, settler, wait_until_done)
        self._running = set()

    @classmethod
    def from_settings(cls, settings, own_record, table, counts, is_live):
        """Create an `AtMostOnce` from the ``claims`` section of the settings."""
        claim_table = ClaimTable(table, make_writer(settings, table))
        breaker = StoreBreaker()
        settler = Settler(settings.max_pending, counts, breaker.note_success)
        return cls(
            own_record,
            claim_table,
            settler,
            counts,
            is_live,
            settings,
            breaker,
        )

    @property
    def pending(self):
        """Numbers of running calls and of pending writes, by kind."""
        return {"calls": len(self._running), "writes": self._settler.pending}

    async def run_to_end(self, work):
        """Run work to its end, even if the awaiting coroutine is cancelled.

        Parameters
        ----------
        work : coroutine
            Claims the key of one call, executes the call and records its result.

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
        """Wait until every started call has ended and its result is written.

        Pending writes are awaited for at most ``STOP_TIMEOUT_MS``. A row whose result
        is not written by then stays claimed, and repeats of the call are refused with
        an unknown outcome.
        """
        while self._running:
            await asyncio.wait(set(self._running))
        await self._settler.wait_idle(STOP_TIMEOUT_MS)

    def make_relay(self, writer, version, is_head=False, get_free_slots=None):
        """Return the relay of one at-most-once call.

        Parameters
        ----------
        writer : AnswerWriter
            Writes the answer to the caller.
        version : int
            Catalogue version in force.
        is_head : bool, optional
            Whether the call has the method HEAD, so that no body follows.
        get_free_slots : callable, optional
            Returns the free slots to report with the answer.

        Returns
        -------
        RecordingRelay
            Relay that keeps the answer so that it can be recorded.
        """
        max_bytes = self._settings.answer_max_bytes
        return RecordingRelay(
            writer, version, max_bytes, is_head=is_head, get_free_slots=get_free_slots
        )

    async def execute(self, call, relay, run):
        """Claim the key of a call, execute the call and record its result.

        If the key is already claimed, the call is a repeat: it is not executed, but
        answered or refused according to the row of the key.

        Parameters
        ----------
        call : Call
            The call.
        relay : RecordingRelay
            Receives the answer.
        run : callable
            Coroutine function that sends the call to the target and returns a
            Refusal, or None if the complete answer went through `relay`. The function
            checks the deadline just before it sends.

        Returns
        -------
        Refusal or None
            None if a complete answer, new or recorded, was relayed.
        """
        if call.get_remaining_ms(get_monotonic_ms()) <= 0:
            return Refusal(Reason.DEADLINE_PASSED)
        if call.stream is not None:
            # The entry became at-most-once while the body arrived as a stream, and no
            # digest of a streamed body exists.
            return Refusal(Reason.NOT_READY, retry_after_ms=RETRY_AFTER_MS)
        if self._is_expired(call):
            return self._refuse_expired()
        if self._settler.is_full or not self._breaker.may_try(get_monotonic_ms()):
            return self._refuse_store_unavailable(Outcome.NOT_RUN)
        claim = self._make_claim(call, self._get_now_ms())
        try:
            result = await self._acquirer.acquire(call, claim)
        except ClaimError as error:
            return self._refuse_claim_error(error)
        self._breaker.note_success()
        if isinstance(result, FoundClaim):
            return await self._answer_repeat(result.claim, claim, relay)
        self._counts.add("claimed")
        if self._is_expired(call):
            # The key expired during the claim, for example because the process was
            # paused: the row of an earlier execution may have been removed meanwhile.
            return await self._release(result, self._refuse_expired())
        return await self._run_claimed(result, relay, run)

    def _refuse_claim_error(self, error):
        self._breaker.note_failure(get_monotonic_ms())
        if isinstance(error, ClaimNotMade):
            return self._refuse_store_unavailable(Outcome.NOT_RUN)
        return self._refuse_store_unavailable(Outcome.UNKNOWN)

    def _make_claim(self, call, now_ms):
        return Claim(
            digest=compute_call_digest(call),
            token=uuid.uuid4().hex,
            node_id=self._own_record.node_id,
            incarnation=self._own_record.incarnation,
            claimed_ms=now_ms,
        )

    def _is_expired(self, call):
        retention_ms = self._settings.retention_hours * MS_PER_HOUR
        return is_expired(call.key, retention_ms, self._get_now_ms())

    def _refuse_expired(self):
        self._counts.add("key-expired")
        return Refusal(Reason.KEY_EXPIRED, Outcome.UNKNOWN)

    def _refuse_store_unavailable(self, outcome):
        self._counts.add(f"store-unavailable-{outcome.value}")
        return Refusal(Reason.STORE_UNAVAILABLE, outcome, RETRY_AFTER_MS)

    async def _answer_repeat(self, found, claim, relay):
        is_live = self._is_live(found)
        refusal = compute_repeat_refusal(found, claim, is_live, claim.claimed_ms)
        if refusal is not None:
            self._counts.add(f"repeat-{refusal.reason.value}")
            return refusal
        self._counts.add("replayed")
        await relay.replay(found.answer)
        return None

    async def _run_claimed(self, held, relay, run):
        try:
            refusal = await run()
        except BaseException:
            self._record_in_background(held, ClaimState.UNKNOWN)
            raise
        if refusal is None and relay.is_not_run:
            refusal = Refusal(Reason.OVERLOADED, retry_after_ms=RETRY_AFTER_MS)
        if refusal is None:
            answer = make_recorded_answer(relay.status, relay.headers, relay.kept_body)
            self._record_in_background(held, ClaimState.DONE, answer)
            await relay.end()
            return None
        if refusal.outcome is Outcome.NOT_RUN:
            return await self._release(held, refusal)
        self._record_in_background(held, ClaimState.UNKNOWN)
        return refusal

    def _record_in_background(self, held, state, answer=None):
        self._counts.add(f"recorded-{state.value}")
        write = functools.partial(self._table.write_result, held, state, answer)
        self._settler.start(write)

    async def _release(self, held, refusal):
        self._counts.add("released")
        release = functools.partial(self._table.write_result, held, ClaimState.RELEASED)
        try:
            await release()
        except PlatformError:
            self._settler.start(release)
            return attrs.evolve(
                refusal, outcome=Outcome.UNKNOWN, retry_after_ms=RETRY_AFTER_MS
            )
        return refusal
