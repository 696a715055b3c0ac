"""Relay an answer and keep what a repeat of the call will need."""

from gentianlink.node.proxy.answer_relay import AnswerRelay
from gentianlink.node.proxy.errors import CallerGone


class RecordingRelay(AnswerRelay):
    """Relay of an at-most-once call; it reads on when the caller has gone.

    Parameters
    ----------
    writer : AnswerWriter
        The caller's side.
    version : int
        Catalogue version in force.
    max_bytes : int
        Largest body that is kept.
    """

    def __init__(self, writer, version, max_bytes):
        super().__init__(writer, version)
        self._max_bytes = max_bytes
        self._kept = bytearray()
        self._is_whole = True
        self._is_caller_gone = False

    @property
    def kept_body(self):
        """Body of the answer; None if it was larger than the bound."""
        return bytes(self._kept) if self._is_whole else None

    async def data_received(self, chunk):
        """Keep a part of the body and relay it while the caller is there."""
        if len(self._kept) + len(chunk) > self._max_bytes:
            self._is_whole = False
            self._kept.clear()
        if self._is_whole:
            self._kept += chunk
        await self._relay(super().data_received(chunk))

    async def end(self):
        """End the caller's answer if the caller is still there."""
        await self._relay(super().end())

    async def _relay(self, step):
        if self._is_caller_gone:
            step.close()
            return
        try:
            await step
        except CallerGone:
            self._is_caller_gone = True
