"""Relay a target's answer to the caller as it arrives."""

from tornado.httputil import HTTPMessageDelegate

from gentianlink.core import headers as names
from gentianlink.core.outcome import Outcome
from gentianlink.node.proxy.answer_writer import copy_headers, mark_done

FIRST_FINAL_STATUS = 200


class AnswerRelay(HTTPMessageDelegate):
    """Reads an answer and writes it to the caller with back-pressure.

    The headers wait for the first part of the body, so that a small answer is one
    write. An answer by which another node says that the call was not run is kept
    back: the caller of :meth:`relay` decides whether to try another target.

    Parameters
    ----------
    writer : AnswerWriter
        The caller's side.
    version : int
        Catalogue version in force.
    """

    def __init__(self, writer, version):
        self._writer = writer
        self._version = version
        self._status = 0
        self._headers = None
        self._is_finished = False
        self.progress_ms = 0.0

    @property
    def is_finished(self):
        """Whether the whole answer arrived."""
        return self._is_finished

    @property
    def is_not_run(self):
        """Whether another node answered that the call was not run."""
        if self._headers is None:
            return False
        return self._headers.get(names.OUTCOME) == Outcome.NOT_RUN.value

    @property
    def status(self):
        """Status of the answer; 0 before it began."""
        return self._status

    @property
    def headers(self):
        """Headers of the answer."""
        return self._headers

    def headers_received(self, start_line, headers):
        """Take the status line and the headers."""
        if start_line.code < FIRST_FINAL_STATUS:
            return
        self._status = start_line.code
        self._headers = copy_headers(headers)

    async def data_received(self, chunk):
        """Relay a part of the body and wait until the caller has taken it."""
        if self.is_not_run:
            return
        if self._writer.is_started:
            await self._writer.write(chunk)
            return
        mark_done(self._headers, self._version)
        await self._writer.start(self._status, self._headers, chunk)

    def finish(self):
        """Note that the whole answer arrived."""
        self._is_finished = True

    async def end(self):
        """End the caller's answer after the whole answer arrived."""
        if not self._writer.is_started:
            mark_done(self._headers, self._version)
            await self._writer.start(self._status, self._headers)
        self._writer.finish()
