"""Relay an answer and keep a copy of it for repeats of the call."""

from tornado.httputil import HTTPHeaders

from gentianlink.core import headers as names
from gentianlink.node.proxy.answer_relay import AnswerRelay
from gentianlink.node.proxy.answer_writer import mark_done
from gentianlink.node.proxy.errors import CallerGone


class RecordingRelay(AnswerRelay):
    """Relay of an at-most-once call.

    The answer is read to its end even if the caller disconnects, so that it can be
    recorded.

    Parameters
    ----------
    writer : AnswerWriter
        Writes the answer to the caller.
    version : int
        Catalogue version in force.
    max_bytes : int
        Largest body that is kept, in bytes.
    is_head : bool, optional
        Whether the call has the method HEAD, so that no body follows.
    get_free_slots : callable, optional
        Returns the free slots to report with the answer.
    """

    def __init__(self, writer, version, max_bytes, is_head=False, get_free_slots=None):
        super().__init__(
            writer, version, is_head=is_head, get_free_slots=get_free_slots
        )
        self._max_bytes = max_bytes
        self._kept = bytearray()
        self._is_whole = True
        self._is_caller_gone = False

    @property
    def kept_body(self):
        """Body of the answer; None if it was larger than the limit."""
        return bytes(self._kept) if self._is_whole else None

    async def deliver(self, chunk):
        """Keep a chunk of the body and write it unless the caller has disconnected."""
        if len(self._kept) + len(chunk) > self._max_bytes:
            self._is_whole = False
            self._kept.clear()
        if self._is_whole:
            self._kept += chunk
        await self._relay(super().deliver(chunk))

    async def end(self):
        """End the answer to the caller unless the caller has disconnected."""
        await self._relay(super().end())

    async def replay(self, answer):
        """Write a recorded answer to the caller of a repeat.

        Parameters
        ----------
        answer : RecordedAnswer
            Answer of the executed call.

        Raises
        ------
        CallerGone
            If the caller closed its connection.
        """
        headers = HTTPHeaders()
        for name, value in answer.headers:
            headers.add(name, value)
        body = answer.body.encode("latin-1")
        headers["Content-Length"] = str(len(body))
        headers[names.REPLAY] = "true"
        mark_done(headers, self._version, self._compute_free_slots())
        await self._writer.start(answer.status, headers, body)
        self._writer.finish()

    def _compute_free_slots(self):
        return None if self._get_free_slots is None else self._get_free_slots()

    async def _relay(self, write):
        if self._is_caller_gone:
            write.close()
            return
        try:
            await write
        except CallerGone:
            self._is_caller_gone = True
