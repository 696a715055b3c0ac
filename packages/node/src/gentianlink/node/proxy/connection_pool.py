"""Persistent connections to targets and to other nodes."""

import asyncio
import collections

from tornado.iostream import StreamClosedError

from gentianlink.node.proxy.errors import ConnectionLimitReached, TargetUnreachable
from gentianlink.node.proxy.exchange_stream import ExchangeStream

MAX_IDLE_MS = 4000
MAX_IDLE_NON_REPEATABLE_MS = 1000
MS_PER_S = 1000


def get_max_idle_ms(is_repeatable):
    """Return the longest idle time of a connection that a call may use.

    Parameters
    ----------
    is_repeatable : bool
        Whether a second execution does no harm: the call is sent again if the other
        end has closed the idle connection.

    Returns
    -------
    int
        Time in milliseconds.
    """
    return MAX_IDLE_MS if is_repeatable else MAX_IDLE_NON_REPEATABLE_MS


class ConnectionPool:
    """Pool of connections, each used by one exchange at a time.

    A connection returns to the pool only after a complete exchange, and is used again
    only if no byte arrived while it was idle. Idle connections are closed before a
    target with the usual keep-alive timeout closes them.

    Parameters
    ----------
    max_open : int
        Largest number of connections to one address, idle ones included.
    connect_timeout_ms : int
        Timeout in milliseconds for opening a connection.
    """

    def __init__(self, max_open, connect_timeout_ms):
        self._max_open = max_open
        self._connect_timeout_ms = connect_timeout_ms
        self._idle = collections.defaultdict(collections.deque)
        self._open = collections.Counter()

    @classmethod
    def from_settings(cls, settings):
        """Return a pool for the ``calls`` section of the settings."""
        return cls(settings.connections, settings.connect_timeout_ms)

    def count_open(self, address, port):
        """Return the number of connections to an address, idle ones included."""
        return self._open[address, port]

    async def acquire(self, address, port, now_ms, max_idle_ms=MAX_IDLE_MS):
        """Return an idle connection, or a new one.

        Parameters
        ----------
        address : str
            IP address.
        port : int
            TCP port.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        max_idle_ms : float, optional
            Longest idle time in milliseconds of a connection that may be used again;
            0 for a new connection.

        Returns
        -------
        ExchangeStream
            A connection that no other exchange uses.

        Raises
        ------
        TargetUnreachable
            If no connection could be opened.
        ConnectionLimitReached
            If all connections of the address are in use.
        """
        key = address, port
        idle = self._idle[key]
        while idle:
            stream = idle.pop()
            if now_ms - stream.idle_since_ms < max_idle_ms and stream.is_usable:
                return stream
            self._discard(stream)
        if self._open[key] >= self._max_open:
            raise ConnectionLimitReached(f"{address}:{port}")
        return await self._connect(address, port)

    async def _connect(self, address, port):
        stream = ExchangeStream(address, port)
        self._open[address, port] += 1
        try:
            async with asyncio.timeout(self._connect_timeout_ms / MS_PER_S):
                await stream.connect((address, port))
        except (OSError, StreamClosedError, TimeoutError) as error:
            self._discard(stream)
            raise TargetUnreachable(f"{address}:{port}") from error
        except asyncio.CancelledError:
            self._discard(stream)
            raise
        return stream

    def release(self, stream, is_reusable, now_ms):
        """Return a connection to the pool after its exchange.

        Parameters
        ----------
        stream : ExchangeStream
            The connection.
        is_reusable : bool
            Whether the exchange was complete in both directions.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        if not is_reusable or not stream.is_usable:
            self._discard(stream)
            return
        stream.exchanges += 1
        stream.idle_since_ms = now_ms
        self._idle[stream.address, stream.port].append(stream)

    def sweep(self, now_ms):
        """Close connections that were idle for too long or that the other end closed.

        Parameters
        ----------
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        for key, idle in list(self._idle.items()):
            kept = collections.deque()
            for stream in idle:
                if now_ms - stream.idle_since_ms < MAX_IDLE_MS and stream.is_usable:
                    kept.append(stream)
                else:
                    self._discard(stream)
            self._idle[key] = kept
            if not kept:
                del self._idle[key]

    def close(self):
        """Close all idle connections."""
        for idle in self._idle.values():
            for stream in idle:
                self._discard(stream)
        self._idle.clear()

    def _discard(self, stream):
        stream.close()
        key = stream.address, stream.port
        self._open[key] -= 1
        if not self._open[key]:
            del self._open[key]
