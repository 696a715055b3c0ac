"""Relay a target's answer to the caller as it arrives."""

from gentianlink.core import headers as names
from gentianlink.core.outcome import Outcome
from gentianlink.core.reason import Reason
from gentianlink.node.clock import get_monotonic_ms
from gentianlink.node.proxy.answer_writer import mark_done, strip_headers
from gentianlink.node.proxy.errors import CallerGone
from gentianlink.node.proxy.refusal import Refusal
from gentianlink.node.proxy.relayed_answer import RelayedAnswer

STATUSES_OF_SHEDDING = frozenset((429, 503))
MAX_RETRY_AFTER_MS = 600_000


class AnswerRelay(RelayedAnswer):
    """Reads an answer and writes it to the caller with back-pressure.

    The headers wait for the first part of the body, so that a small answer is one
    write. A refusal by another node, and a target's statement that it did not run
    the call, are kept back: the caller decides whether to try another target.

    Parameters
    ----------
    writer : AnswerWriter
        The caller's side.
    version : int
        Catalogue version in force.
    is_head : bool, optional
        Whether the call has the method HEAD, so that no body follows.
    read_refusal : callable, optional
        Takes status and headers, and returns the Refusal that an answer is, or None.
    get_free_slots : callable, optional
        Returns the free slots to report with the answer.
    """

    def __init__(
        self, writer, version, is_head=False, read_refusal=None, get_free_slots=None
    ):
        self._version = version
        self._read_refusal = read_refusal or read_target_refusal
        self._get_free_slots = get_free_slots
        super().__init__(writer, is_head)

    def reset(self):
        """Forget an answer that belongs to another call."""
        super().reset()
        self._refusal = None
        self._free_slots = None

    @property
    def is_foreign(self):
        """Whether the answer belongs to another call; this relay can't tell."""
        return False

    @property
    def ends_with_connection(self):
        """Whether the end of the connection ends the answer; never allowed here."""
        return False

    @property
    def is_bad(self):
        """Whether the end of the answer can't be told from a cut."""
        return not self._has_length

    @property
    def refusal(self):
        """Refusal in place of an answer, None if the target ran the call."""
        return self._refusal

    @property
    def is_not_run(self):
        """Whether the other end says that the call was not run."""
        return self._refusal is not None and self._refusal.outcome is Outcome.NOT_RUN

    @property
    def free_slots(self):
        """Free slots that the other end reported; None if it did not."""
        return self._free_slots

    def judge(self):
        """Decide by status and headers what the answer is."""
        self._refusal = self._read_refusal(self._status, self._headers)
        self._free_slots = read_number(self._headers, names.FREE_SLOTS)

    async def data_received(self, chunk):
        """Relay a part of the body and wait until the caller has taken it."""
        self.progress_ms = get_monotonic_ms()
        if self._refusal is not None or self.is_bad or self._is_abandoned:
            return
        self._is_writing = True
        try:
            await self.deliver(chunk)
        except CallerGone:
            self._is_abandoned = True
        finally:
            self._is_writing = False
            self.progress_ms = get_monotonic_ms()

    async def deliver(self, chunk):
        """Write a part of the body to the caller.

        Parameters
        ----------
        chunk : bytes
            Part of the body.

        Raises
        ------
        CallerGone
            If the caller closed its connection.
        """
        if self._writer.is_started:
            await self._writer.write(chunk)
            return
        self._mark_done()
        await self._writer.start(self._status, self._headers, chunk)

    async def end(self):
        """End the caller's answer after the whole answer arrived."""
        if not self._writer.is_started:
            self._mark_done()
            await self._writer.start(self._status, self._headers)
        self._writer.finish()

    def _mark_done(self):
        strip_headers(self._headers)
        free_slots = None
        if self._get_free_slots is not None:
            free_slots = self._get_free_slots()
        mark_done(self._headers, self._version, free_slots)


def read_number(headers, name):
    """Return a header's whole number, None if it is missing or bad."""
    value = headers.get(name, "")
    if not (value.isascii() and value.isdigit()):
        return None
    return int(value[:9])


def read_node_refusal(status, headers):
    """Return the refusal in an answer of another node.

    Parameters
    ----------
    status : int
        Status of the answer.
    headers : HTTPHeaders
        Headers of the answer.

    Returns
    -------
    Refusal or None
        None if the call was done.
    """
    try:
        outcome = Outcome(headers.get(names.OUTCOME))
        if outcome is Outcome.DONE and names.REASON not in headers:
            return None
        reason = Reason(headers.get(names.REASON))
    except ValueError:
        return Refusal(Reason.BAD_ANSWER, Outcome.UNKNOWN)
    retry_after_ms = read_number(headers, names.RETRY_AFTER_MS) or 0
    attempts = read_number(headers, names.ATTEMPT) or 1
    return Refusal(reason, outcome, retry_after_ms, attempts)


def read_target_refusal(status, headers):
    """Return the refusal in an answer of a target.

    A target may say that it did not run a call, with a status of shedding and the
    outcome header. Any other answer is its own, whatever the status.

    Parameters
    ----------
    status : int
        Status of the answer.
    headers : HTTPHeaders
        Headers of the answer.

    Returns
    -------
    Refusal or None
        None if the target ran the call.
    """
    if status not in STATUSES_OF_SHEDDING:
        return None
    if headers.get(names.OUTCOME) != Outcome.NOT_RUN.value:
        return None
    retry_after_ms = read_number(headers, names.RETRY_AFTER_MS) or 0
    retry_after_ms = min(retry_after_ms, MAX_RETRY_AFTER_MS)
    attempts = read_number(headers, names.ATTEMPT) or 1
    return Refusal(Reason.TARGET_SHED, Outcome.NOT_RUN, retry_after_ms, attempts)
