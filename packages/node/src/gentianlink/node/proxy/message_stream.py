"""Connection that reads and writes short messages with few system calls."""

import asyncio

from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamBufferFullError


class MessageStream(IOStream):
    """Tornado's connection, with shorter ways for what short messages do most often."""

    def __init__(self, connection, **options):
        super().__init__(connection, **options)
        self._written = None

    def write(self, data):
        """Write bytes: at once if the socket takes all of them."""
        if self._write_buffer or self._connecting or self.closed() or not data:
            return super().write(data)
        try:
            sent = self.socket.send(data)
        except OSError:
            # The usual way waits for the socket, or reports why it fails.
            sent = 0
        if sent < len(data):
            return super().write(memoryview(data)[sent:] if sent else data)
        self._maybe_add_error_listener()
        if self._written is None:
            self._written = asyncio.get_running_loop().create_future()
            self._written.set_result(None)
        return self._written

    def _try_inline_read(self):
        if self._read_regex is None or self._read_buffer_size:
            super()._try_inline_read()
            return
        # The head of a message is hardly ever there yet when a read of it begins: the
        # other end has to answer first. Reading at once would fail nearly always.
        self._check_closed()
        self._add_io_state(IOLoop.READ)

    def _read_to_buffer(self):
        if self._user_read_buffer:
            return super()._read_to_buffer()
        try:
            # Tornado fills a buffer of the whole chunk size with zeros first.
            data = self.socket.recv(self.read_chunk_size)
        except BlockingIOError:
            return 0
        except OSError as error:
            self.close(exc_info=error)
            if self._is_connreset(error):
                return None
            raise
        if not data:
            self.close()
            return 0
        self._read_buffer += data
        self._read_buffer_size += len(data)
        if self._read_buffer_size > self.max_buffer_size:
            error = StreamBufferFullError("Reached maximum read buffer size")
            self.close(exc_info=error)
            raise error
        return len(data)
