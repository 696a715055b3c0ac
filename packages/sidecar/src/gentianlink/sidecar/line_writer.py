"""Non-blocking writer for log lines."""

import asyncio
import os
import select

# PIPE_BUF of Linux: writes of at most this size to a pipe are atomic.
PIPE_BUF_BYTES = 4096
# Size of the buffer for a slow reader; lines that do not fit are dropped and counted.
MAX_BUFFERED_BYTES = 128 * 1024
# Lines are collected for this long, so that one system call writes many of them.
FLUSH_S = 0.05


class LineWriter:
    """Buffers lines and writes them in batches whenever the descriptor is writable.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to.
    """

    def __init__(self, descriptor):
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._lines = []
        self._buffered_bytes = 0
        self._dropped = 0
        self._is_flush_scheduled = False

    @property
    def dropped(self):
        """Number of lines dropped because of a full buffer or a closed pipe."""
        return self._dropped

    def write_line(self, line):
        """Buffer a line to be written soon, or drop it if the buffer is full.

        Parameters
        ----------
        line : bytes
            The line without its newline.
        """
        line = line[: PIPE_BUF_BYTES - 1] + b"\n"
        if self._buffered_bytes + len(line) > MAX_BUFFERED_BYTES:
            self._dropped += 1
            return
        self._lines.append(line)
        self._buffered_bytes += len(line)
        self._schedule_flush()

    def _schedule_flush(self):
        if self._is_flush_scheduled:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.flush()
            return
        self._is_flush_scheduled = True
        loop.call_later(FLUSH_S, self._flush_and_reschedule)

    def _flush_and_reschedule(self):
        self._is_flush_scheduled = False
        self.flush()
        if self._lines:
            self._schedule_flush()

    def flush(self):
        """Write as many buffered lines as possible without blocking."""
        while self._lines and self._poll.poll(0):
            chunk, count = self._build_chunk()
            try:
                os.write(self._descriptor, chunk)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe, and there is no other output.
                self._dropped += count
            del self._lines[:count]
            self._buffered_bytes -= len(chunk)

    def _build_chunk(self):
        size = 0
        count = 0
        for line in self._lines:
            if size + len(line) > PIPE_BUF_BYTES:
                break
            size += len(line)
            count += 1
        return b"".join(self._lines[:count]), count
