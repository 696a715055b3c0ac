"""Simulation of a table, a target and nodes in which a schedule picks every event."""

import asyncio
import functools

from tornado.httputil import HTTPHeaders, ResponseStartLine

from gentianlink.core.errors import (
    PlatformOutcomeUnknown,
    PlatformUnavailable,
    WriteConflict,
)
from gentianlink.core.node_record import NodeRecord
from gentianlink.core.outcome import Outcome
from gentianlink.core.reason import Reason
from gentianlink.core.settings import ClaimSettings
from gentianlink.node.claims.at_most_once import AtMostOnce
from gentianlink.node.claims.claim_acquirer import wait_until_done
from gentianlink.node.claims.claim_counts import ClaimCounts
from gentianlink.node.claims.claim_table import ClaimTable
from gentianlink.node.claims.direct_writer import DirectWriter
from gentianlink.node.claims.settler import Settler
from gentianlink.node.claims.store_breaker import StoreBreaker
from gentianlink.node.clock import get_monotonic_ms
from gentianlink.node.proxy.call import Call
from gentianlink.node.proxy.refusal import Refusal
from gentianlink.testing.claims.event import Event
from gentianlink.testing.claims.fake_table import FakeTable
from gentianlink.testing.claims.fake_writer import FakeWriter
from gentianlink.testing.claims.submission import Submission
from gentianlink.testing.table_state import TableState

DEADLINE_MS = 3_600_000
# Iterations of the event loop without an event after which the nodes are idle.
IDLE_ITERATIONS = 12
ANSWER_MAX_BYTES = 1024


class ClaimWorld:
    """Simulated nodes that share one table and one target.

    Parameters
    ----------
    schedule : Schedule
        Picks each event and whether a fault occurs at it.
    faults : int
        Largest number of injected faults.
    make_writer : callable, optional
        Takes a table and the sleep function and returns the writer of claim rows.
    claim_table_class : type, optional
        Class that reads and writes claim rows; tests of the checks inject defects here.
    """

    def __init__(
        self, schedule, faults, make_writer=None, claim_table_class=ClaimTable
    ):
        self._schedule = schedule
        self._faults = faults
        self._make_writer = make_writer or (lambda table, sleep: DirectWriter(table))
        self._claim_table_class = claim_table_class
        self._events = []
        self._delayed = []
        self._deadlines = []
        self._claims = {}
        self._activity = 0
        self._tasks = []
        self.table = TableState()
        self.dead = set()
        self.executions = []
        self.submissions = []
        self.is_target_outcome_unknown = False
        self.now_ms = 0

    async def wait(self, node_id, kind, perform):
        """Add a pending event and wait until the schedule picks it.

        Parameters
        ----------
        node_id : str
            Node of the event.
        kind : str
            Kind of the event: ``read``, ``write``, ``target`` or ``sleep``.
        perform : callable
            Effect of the event.

        Returns
        -------
        object
            Result of `perform`.
        """
        future = asyncio.get_running_loop().create_future()
        self._events.append(Event(node_id, kind, perform, future))
        self._activity += 1
        return await future

    def submit(self, node_id, key="k", body=b"b", deadline_ms=DEADLINE_MS, stream=None):
        """Send a call to a node.

        Parameters
        ----------
        node_id : str
            The node.
        key : str, optional
            Idempotency key.
        body : bytes, optional
            Body of the call.
        deadline_ms : float, optional
            Time that the caller allows in milliseconds.
        stream : RequestBody, optional
            Body that is streamed instead of read before the call.

        Returns
        -------
        Submission
            Record that gets the answer when the call ends.
        """
        submission = Submission(
            len(self.submissions), node_id, key, body, deadline_ms, stream
        )
        self.submissions.append(submission)
        work = self._execute(submission)
        self._tasks.append(asyncio.get_running_loop().create_task(work))
        return submission

    def _get_claims(self, node_id):
        if node_id not in self._claims:
            self._claims[node_id] = self._make_claims(node_id)
        return self._claims[node_id]

    def _make_claims(self, node_id):
        table = FakeTable(self, node_id)

        async def sleep(seconds):
            await self.wait(node_id, "sleep", lambda: None)

        counts = ClaimCounts()
        breaker = StoreBreaker()
        return AtMostOnce(
            NodeRecord(node_id, 1, 1, "r", "d", "127.0.0.1", 1, 2, 3),
            self._claim_table_class(table, self._make_writer(table, sleep)),
            Settler(100, counts, breaker.note_success, sleep),
            counts,
            lambda claim: claim.node_id not in self.dead,
            ClaimSettings(answer_max_bytes=ANSWER_MAX_BYTES),
            breaker,
            lambda: self.now_ms,
            functools.partial(self._wait_until_done, node_id),
        )

    async def _wait_until_done(self, node_id, task, timeout_ms):
        if timeout_ms < DEADLINE_MS / 2:
            return await wait_until_done(task, timeout_ms)
        expired = asyncio.get_running_loop().create_future()
        deadline = Event(node_id, "deadline", None, expired)
        self._deadlines.append(deadline)
        await asyncio.wait({task, expired}, return_when=asyncio.FIRST_COMPLETED)
        self._deadlines.remove(deadline)
        self._activity += 1
        return task.done()

    async def _execute(self, submission):
        claims = self._get_claims(submission.node_id)
        call = Call(
            "POST",
            "/redeem",
            HTTPHeaders(),
            submission.body,
            get_monotonic_ms() + submission.deadline_ms,
            submission.key,
            stream=submission.stream,
        )
        relay = claims.make_relay(FakeWriter(submission), 1)
        run = functools.partial(self._run, submission, relay)
        self._record_outcome(submission, await claims.execute(call, relay, run))

    def _record_outcome(self, submission, refusal):
        submission.outcome = Outcome.DONE if refusal is None else refusal.outcome
        submission.reason = None if refusal is None else refusal.reason
        submission.executions_when_answered = self.count_executions(submission)

    async def _run(self, submission, relay):
        def perform():
            self.executions.append(submission)
            return None

        refusal = await self.wait(submission.node_id, "target", perform)
        if refusal is not None:
            return refusal
        answer = make_answer(submission.key, submission.body)
        headers = HTTPHeaders({"Content-Length": str(len(answer))})
        relay.headers_received(ResponseStartLine("", 200, ""), headers)
        await relay.data_received(answer)
        relay.finish()
        return None

    def count_executions(self, submission):
        """Return how often the target executed a submission."""
        return self.executions.count(submission)

    async def run_to_end(self):
        """Perform events until none is pending and all delayed effects are applied."""
        while True:
            await self._wait_until_idle()
            options = self._get_options()
            if not options:
                return
            self._schedule.choose(options)()

    async def stop(self):
        """Cancel the remaining tasks."""
        own = {asyncio.current_task()}
        while tasks := asyncio.all_tasks() - own:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def end_faults(self):
        """Inject no further faults."""
        self._faults = 0

    async def _wait_until_idle(self):
        idle_iterations = 0
        last_activity = self._activity
        while idle_iterations < IDLE_ITERATIONS:
            await asyncio.sleep(0)
            idle_iterations = (
                idle_iterations + 1 if last_activity == self._activity else 0
            )
            last_activity = self._activity

    def _get_options(self):
        live = [event for event in self._events if event.node_id not in self.dead]
        sleeping = [event for event in live if event.kind == "sleep"]
        ready = [event for event in live if event.kind != "sleep"]
        options = []
        for event in ready or sleeping[:1]:
            options.append(functools.partial(self._perform_event, event))
        for effect in self._delayed:
            options.append(functools.partial(self._apply_delayed, effect))
        if self._faults:
            for event in ready:
                options.extend(self._get_faults(event))
            for deadline in self._deadlines:
                if deadline.node_id not in self.dead and not deadline.future.done():
                    options.append(functools.partial(self._expire_deadline, deadline))
        return options

    def _get_faults(self, event):
        yield functools.partial(self._kill, event.node_id, False)
        yield functools.partial(self._kill, event.node_id, True)
        yield functools.partial(self._lose_answer, event)
        if event.kind == "read":
            return
        yield functools.partial(self._refuse, event)
        yield functools.partial(self._delay_effect, event)

    def _expire_deadline(self, deadline):
        self._faults -= 1
        deadline.future.set_result(None)

    def _perform_event(self, event):
        self._events.remove(event)
        try:
            event.future.set_result(event.perform())
        except WriteConflict as error:
            event.future.set_exception(error)

    def _refuse(self, event):
        self._consume_fault(event)
        if event.kind == "target":
            event.future.set_result(Refusal(Reason.TARGET_UNREACHABLE))
            return
        event.future.set_exception(PlatformUnavailable("down"))

    def _lose_answer(self, event):
        self._consume_fault(event)
        self._perform_ignoring_conflict(event.perform)
        self._end_with_unknown_outcome(event)

    def _delay_effect(self, event):
        self._consume_fault(event)
        self._delayed.append(event.perform)
        self._end_with_unknown_outcome(event)

    def _kill(self, node_id, are_effects_applied):
        self._faults -= 1
        self.dead.add(node_id)
        if not are_effects_applied:
            return
        for event in self._events:
            if event.node_id == node_id and event.kind in ("write", "target"):
                self._delayed.append(event.perform)

    def _apply_delayed(self, effect):
        self._delayed.remove(effect)
        self._perform_ignoring_conflict(effect)

    def _perform_ignoring_conflict(self, perform):
        try:
            perform()
        except WriteConflict:
            return

    def _consume_fault(self, event):
        self._faults -= 1
        self._events.remove(event)

    def _end_with_unknown_outcome(self, event):
        if event.kind == "target":
            self.is_target_outcome_unknown = True
            refusal = Refusal(Reason.TARGET_LOST, Outcome.UNKNOWN)
            event.future.set_result(refusal)
            return
        event.future.set_exception(PlatformOutcomeUnknown("lost"))


def make_answer(key, body):
    """Return the target's answer to a call."""
    return b"answer to " + key.encode() + b" " + body
