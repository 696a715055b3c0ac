"""A request body that is forwarded while it arrives."""

import asyncio
import collections

from tornado.iostream import StreamClosedError

MAX_BUFFERED_BYTES = 128 * 1024


class RequestBody:
    """Body that is too large for the buffer of a call.

    Parameters
    ----------
    prefix : bytes
        First part of the body, kept so that it can be sent again.
    """

    def __init__(self, prefix):
        self._prefix = prefix
        self._chunks = collections.deque()
        self._buffered_bytes = 0
        self._is_ended = False
        self._is_failed = False
        self._is_discarded = False
        self._is_read = False
        self._change = asyncio.Event()

    @property
    def prefix(self):
        """First part of the body."""
        return self._prefix

    @property
    def is_replayable(self):
        """Whether the body can be sent again from its beginning."""
        return not self._is_read and not self._is_discarded

    @property
    def buffered_bytes(self):
        """Bytes that have arrived and have not been read."""
        return self._buffered_bytes

    @property
    def _is_over(self):
        return self._is_discarded or self._is_failed

    async def put(self, chunk):
        """Add a part of the body; wait while the buffer is full.

        Parameters
        ----------
        chunk : bytes
            Next part of the body.
        """
        if self._is_discarded:
            return
        self._chunks.append(chunk)
        self._buffered_bytes += len(chunk)
        self._change.set()
        while self._buffered_bytes >= MAX_BUFFERED_BYTES and not self._is_over:
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
        self._is_read = True
        chunk = self._chunks.popleft()
        self._buffered_bytes -= len(chunk)
        self._change.set()
        return chunk

    def end(self):
        """Record that the whole body has arrived."""
        self._is_ended = True
        self._change.set()

    def fail(self):
        """Record that the rest of the body will not arrive."""
        self._is_failed = True
        self._change.set()

    def discard(self):
        """Drop the buffered parts and all that arrive later."""
        self._is_discarded = True
        self._chunks.clear()
        self._buffered_bytes = 0
        self._change.set()
