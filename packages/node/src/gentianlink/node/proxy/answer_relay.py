"""Relay a target's answer to the caller as it arrives."""

from gentianlink.core import headers as names
from gentianlink.core.outcome import Outcome
from gentianlink.core.reason import Reason
from gentianlink.node.clock import get_monotonic_ms
from gentianlink.node.proxy.answer_writer import mark_done, strip_headers
from gentianlink.node.proxy.errors import CallerGone
from gentianlink.node.proxy.refusal import Refusal
from gentianlink.node.proxy.relayed_answer import RelayedAnswer

LOAD_SHEDDING_STATUSES = frozenset((429, 503))
MAX_RETRY_AFTER_MS = 600_000


class AnswerRelay(RelayedAnswer):
    """Reads an answer and writes it to the caller with back-pressure.

    The headers are held back until the first part of the body, so that a small
    answer needs one write. A refusal by another node, and a target's statement that
    it did not run the call, are not relayed, so that the router can try another
    target.

    Parameters
    ----------
    writer : AnswerWriter
        Writes to the caller's connection.
    version : int
        Catalogue version in force.
    is_head : bool, optional
        Whether the call has the method HEAD, so that no body follows.
    read_refusal : callable, optional
        Takes the status and headers of an answer; returns its Refusal, or None for
        the result of the call. :func:`read_target_refusal` by default.
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
        """Discard the state of an answer that belongs to another call."""
        super().reset()
        self._refusal = None
        self._free_slots = None

    @property
    def is_foreign(self):
        """Whether the answer belongs to another call; not detectable by this relay."""
        return False

    @property
    def ends_with_connection(self):
        """Whether the body may end with the connection; never for this relay."""
        return False

    @property
    def is_bad(self):
        """Whether the answer is unframed: its end looks like a lost connection."""
        return not self._has_length

    @property
    def is_keep_alive(self):
        """Whether the connection may be used for another exchange.

        After a refusal it may not: a late copy of it could not be told from a refusal
        of the next call.
        """
        return super().is_keep_alive and self._refusal is None

    @property
    def refusal(self):
        """Refusal received in place of a result; None if the target ran the call."""
        return self._refusal

    @property
    def is_not_run(self):
        """Whether the other end reported that it did not run the call."""
        return self._refusal is not None and self._refusal.outcome is Outcome.NOT_RUN

    @property
    def free_slots(self):
        """Free slots that the other end reported; None if it did not."""
        return self._free_slots

    def classify(self):
        """Read the refusal, if any, and the free slots from the headers."""
        self._refusal = self._read_refusal(self._status, self._headers)
        self._free_slots = read_number(self._headers, names.FREE_SLOTS)

    async def data_received(self, chunk):
        """Relay a part of the body and wait until the socket has accepted it."""
        self.last_progress_ms = get_monotonic_ms()
        if self._refusal is not None or self.is_bad or self._is_abandoned:
            self.skip(chunk)
            return
        self._is_writing = True
        try:
            await self.deliver(chunk)
        except CallerGone:
            self._is_abandoned = True
        finally:
            self._is_writing = False
            self.last_progress_ms = get_monotonic_ms()

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
        """Finish the answer to the caller after the whole answer has arrived."""
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
    """Return a header's value as an integer; None if it is missing or malformed."""
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
        None if the call was run and the answer is its result.
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

    A target sheds a call with status 429 or 503 and the outcome header ``not-run``.
    Any other answer is the result of the call, whatever its status.

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
    if status not in LOAD_SHEDDING_STATUSES:
        return None
    if headers.get(names.OUTCOME) != Outcome.NOT_RUN.value:
        return None
    retry_after_ms = read_number(headers, names.RETRY_AFTER_MS) or 0
    retry_after_ms = min(retry_after_ms, MAX_RETRY_AFTER_MS)
    attempts = read_number(headers, names.ATTEMPT) or 1
    return Refusal(Reason.TARGET_SHED, Outcome.NOT_RUN, retry_after_ms, attempts)
