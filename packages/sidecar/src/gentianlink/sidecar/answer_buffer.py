"""Buffer an answer until it is complete, or stream it if it is large."""

from gentianlink.node.clock import get_monotonic_ms
from gentianlink.node.proxy.answer_writer import strip_headers
from gentianlink.node.proxy.errors import CallerGone, OtherAnswerBegun
from gentianlink.node.proxy.relayed_answer import (
    STATUSES_WITHOUT_BODY,
    RelayedAnswer,
)
from gentianlink.platform import wire

# Answers up to this size are relayed only once complete, so that the call can be
# retried if the answer is cut off.
BUFFER_BYTES = 256 * 1024


class AnswerBuffer(RelayedAnswer):
    """Reads one answer from a target, or from the node beside that target.

    Parameters
    ----------
    writer : AnswerWriter
        Writes to the caller.
    classify : callable
        Takes status and headers and returns a :class:`Verdict`.
    edit_headers : callable
        Changes the headers in place before they are relayed.
    is_head : bool, optional
        Whether the call has the method HEAD, so that no body follows.
    """

    def __init__(self, writer, classify, edit_headers, is_head=False):
        self._classify = classify
        self._edit_headers = edit_headers
        super().__init__(writer, is_head)

    def reset(self):
        """Forget an answer that belongs to another call."""
        super().reset()
        self._verdict = None
        # Whether this answer, and not another one, has begun at the caller.
        self._has_begun = False
        self._chunks = []
        self._size_bytes = 0

    @property
    def verdict(self):
        """Classification of the answer by its headers, None before they arrive."""
        return self._verdict

    @property
    def refusal(self):
        """Refusal received in place of an answer, None if the target answered."""
        return None if self._verdict is None else self._verdict.refusal

    @property
    def is_foreign(self):
        """Whether the answer belongs to another call."""
        return self._verdict is not None and self._verdict.is_foreign

    @property
    def is_bad(self):
        """Whether the headers show that the answer can't be from a target or node."""
        return self._verdict is not None and self._verdict.is_bad

    @property
    def is_keep_alive(self):
        """Whether the connection may be used for another exchange.

        After an answer that names no request it may not: a late copy of that answer
        could not be told from the answer to the next call.
        """
        return super().is_keep_alive and wire.REQUEST_ID in self._headers

    @property
    def ends_with_connection(self):
        """Whether the answer is delimited only by the end of its connection."""
        return not self._has_length

    def classify(self):
        """Classify the answer by its status and headers."""
        self._verdict = self._classify(self._status, self._headers)

    async def data_received(self, chunk):
        """Buffer a part of the body, or relay it if the answer is large."""
        self.last_progress_ms = get_monotonic_ms()
        if self._is_abandoned or not self._verdict.is_answer:
            self.skip(chunk)
            return
        self._size_bytes += len(chunk)
        self._chunks.append(chunk)
        if self._size_bytes <= BUFFER_BYTES and self._writer.may_buffer(len(chunk)):
            return
        self._is_writing = True
        try:
            await self._writer.wait_turn()
            # An answer that was cut off meanwhile must not begin at the caller.
            if not self._is_cut_off():
                await self._write_chunks()
        except CallerGone:
            self._is_abandoned = True
        finally:
            self._is_writing = False
            self.last_progress_ms = get_monotonic_ms()

    async def deliver(self):
        """Send the caller the part of the answer that is still buffered.

        Raises
        ------
        CallerGone
            If the caller closed its connection.
        OtherAnswerBegun
            If the beginning of another answer has been sent.
        """
        await self._write_chunks()
        self._writer.finish()

    async def _write_chunks(self):
        data = b"".join(self._chunks)
        self._chunks.clear()
        if self._has_begun:
            if data:
                await self._writer.write(data)
            return
        if self._writer.is_started:
            raise OtherAnswerBegun("another answer has begun at the caller")
        self._has_begun = True
        headers = self._headers
        strip_headers(headers)
        self._edit_headers(headers)
        is_complete = self._is_finished and not self._is_head
        if is_complete and self._status not in STATUSES_WITHOUT_BODY:
            headers["Content-Length"] = str(len(data))
        await self._writer.start(self._status, headers, data)
