"""A connection that this node opened to a target or to another node."""

import fcntl
import socket
import struct
import termios

from gentianlink.node.proxy.message_stream import MessageStream
from gentianlink.platform.socket_options import set_connection_options

MAX_BUFFER_BYTES = 1 << 20
READ_CHUNK_BYTES = 1 << 16
# Computed once: the operator of these enumerations is slow.
PEEK = int(socket.MSG_PEEK | socket.MSG_DONTWAIT)
# Value of SO_LINGER: on, for zero seconds.
DROP_AT_CLOSE = struct.pack("ii", 1, 0)


class ExchangeStream(MessageStream):
    """Connection for one exchange at a time.

    Parameters
    ----------
    address : str
        IP address of the other end.
    port : int
        TCP port of the other end.
    """

    def __init__(self, address, port):
        family = socket.AF_INET6 if ":" in address else socket.AF_INET
        connection = socket.socket(family, socket.SOCK_STREAM)
        set_connection_options(connection)
        super().__init__(
            connection,
            max_buffer_size=MAX_BUFFER_BYTES,
            read_chunk_size=READ_CHUNK_BYTES,
        )
        self.address = address
        self.port = port
        self.exchanges = 0
        self.idle_since_ms = 0.0

    @property
    def is_usable(self):
        """Whether the connection is open and has no unread byte.

        Nothing may arrive between two exchanges: bytes would belong to an unsolicited
        answer, and an end of file shows that the other end closed the connection.
        """
        if self.closed() or self._read_buffer_size:
            return False
        try:
            self.socket.recv(1, PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def abort(self):
        """Close the connection and drop what the other end has not received.

        After a usual close the kernel goes on to deliver what was written, and the
        other end may execute a call that nobody waits for any more.
        """
        if not self.closed() and _count_undelivered_bytes(self.socket):
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, DROP_AT_CLOSE)
        self.close()

    def set_nodelay(self, value):
        """Ignore the value: ``TCP_NODELAY`` stays set on this connection."""


def _count_undelivered_bytes(connection):
    """Return the bytes that were written and that the other end has not received."""
    buffer = bytearray(struct.calcsize("i"))
    try:
        fcntl.ioctl(connection, termios.TIOCOUTQ, buffer)
    except OSError:
        return 0
    return struct.unpack("i", buffer)[0]
