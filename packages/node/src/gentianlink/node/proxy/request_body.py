"""A request body that is forwarded while it arrives."""

import asyncio
import collections

from tornado.iostream import StreamClosedError

MAX_WAITING_BYTES = 256 * 1024


class RequestBody:
    """Body that does not fit the buffer of a call.

    Parameters
    ----------
    prefix : bytes
        First part of the body, kept so that it can be sent again.
    """

    def __init__(self, prefix):
        self._prefix = prefix
        self._chunks = collections.deque()
        self._waiting_bytes = 0
        self._is_ended = False
        self._is_failed = False
        self._is_discarded = False
        self._is_taken = False
        self._change = asyncio.Event()

    @property
    def prefix(self):
        """First part of the body."""
        return self._prefix

    @property
    def is_replayable(self):
        """Whether the body can be sent again from its beginning."""
        return not self._is_taken and not self._is_discarded

    @property
    def waiting_bytes(self):
        """Bytes that arrived and were not read yet."""
        return self._waiting_bytes

    async def put(self, chunk):
        """Take a part of the body; wait while too much is waiting.

        Parameters
        ----------
        chunk : bytes
            Next part of the body.
        """
        if self._is_discarded:
            return
        self._chunks.append(chunk)
        self._waiting_bytes += len(chunk)
        self._change.set()
        while self._waiting_bytes >= MAX_WAITING_BYTES and not self._is_discarded:
            self._change.clear()
            await self._change.wait()

    async def read(self):
        """Return the next part after the prefix, empty at the end.

        Returns
        -------
        bytes
            Next part of the body.

        Raises
        ------
        StreamClosedError
            If the caller did not send the whole body, or the body was discarded.
        """
        while not self._chunks:
            if self._is_failed or self._is_discarded:
                raise StreamClosedError
            if self._is_ended:
                return b""
            self._change.clear()
            await self._change.wait()
        self._is_taken = True
        chunk = self._chunks.popleft()
        self._waiting_bytes -= len(chunk)
        self._change.set()
        return chunk

    def end(self):
        """Note that the whole body arrived."""
        self._is_ended = True
        self._change.set()

    def fail(self):
        """Note that the rest of the body will not arrive."""
        self._is_failed = True
        self._change.set()

    def discard(self):
        """Drop what waits and what is still to come."""
        self._is_discarded = True
        self._chunks.clear()
        self._waiting_bytes = 0
        self._change.set()
