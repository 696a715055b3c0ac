"""Persistent connections to targets and to other nodes."""

import asyncio
import collections

from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient

from gentianlink.node.proxy.errors import TargetUnreachable

MAX_BUFFER_BYTES = 1 << 20


class ConnectionPool:
    """Open connections that wait for their next exchange.

    Parameters
    ----------
    max_idle : int
        Idle connections kept for each address.
    connect_timeout_ms : int
        Bound in milliseconds on opening a connection.
    """

    def __init__(self, max_idle, connect_timeout_ms):
        self._max_idle = max_idle
        self._connect_timeout_ms = connect_timeout_ms
        self._idle = collections.defaultdict(list)
        self._client = TCPClient()

    @classmethod
    def from_settings(cls, settings):
        """Return a pool for the ``calls`` section of the settings."""
        return cls(settings.connections, settings.connect_timeout_ms)

    async def acquire(self, address, port):
        """Return an idle connection, or a new one.

        Parameters
        ----------
        address : str
            IP number.
        port : int
            TCP port.

        Returns
        -------
        tornado.iostream.IOStream
            A connection that no other exchange uses.

        Raises
        ------
        TargetUnreachable
            If no connection could be opened.
        """
        idle = self._idle[address, port]
        while idle:
            stream = idle.pop()
            if not stream.closed():
                return stream
        connect = self._client.connect(address, port, max_buffer_size=MAX_BUFFER_BYTES)
        try:
            stream = await asyncio.wait_for(connect, self._connect_timeout_ms / 1000)
        except (OSError, StreamClosedError, TimeoutError) as error:
            raise TargetUnreachable(f"{address}:{port}") from error
        stream.set_nodelay(True)
        return stream

    def release(self, address, port, stream):
        """Give back a connection after a whole exchange.

        Parameters
        ----------
        address : str
            IP number.
        port : int
            TCP port.
        stream : tornado.iostream.IOStream
            The connection.
        """
        idle = self._idle[address, port]
        if stream.closed() or len(idle) >= self._max_idle:
            stream.close()
            return
        idle.append(stream)

    def close(self):
        """Close all idle connections."""
        for idle in self._idle.values():
            for stream in idle:
                stream.close()
        self._idle.clear()
