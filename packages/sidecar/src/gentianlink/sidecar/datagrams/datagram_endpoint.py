"""One UDP socket of a node for the short messages of all its parts.

A datagram costs a tenth of an HTTP request. It may be lost, repeated or reordered, so
a part that needs an answer numbers its requests and repeats them.
"""

import asyncio
import socket

import orjson

from gentianlink.core.field_checks import UNREADABLE, explain
from gentianlink.node.log import get_logger

_LOG = get_logger("datagrams")

# Larger datagrams are split by the network and lost as soon as one part is.
MAX_DATAGRAM_BYTES = 1400
# Parsed addresses that are kept.
MAX_DESTINATIONS = 1024


class DatagramEndpoint:
    """Sends and receives datagrams, and gives each to the part that it is for."""

    def __init__(self):
        self._handlers = {}
        self._transport = None
        self._socket = None
        self._destinations = {}

    def register(self, kind, handler):
        """Register the handler of a kind of message.

        Parameters
        ----------
        kind : str
            Short name of the kind.
        handler : callable
            Called with the message, a list, and the sender's IP address and port. It
            checks the types of what it uses, and raises one of
            ``field_checks.UNREADABLE`` if the message is malformed.
        """
        self._handlers[kind] = handler

    async def open(self, address):
        """Open the socket.

        Parameters
        ----------
        address : str
            IP address and UDP port.
        """
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind(_split_address(address))
        self._transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: _Protocol(self._receive), sock=self._socket
        )

    def send(self, address, kind, message):
        """Send a message; it may be lost.

        Parameters
        ----------
        address : str
            IP address and UDP port of the other node.
        kind : str
            Kind of the message.
        message : list
            Content that JSON can express, up to ``MAX_DATAGRAM_BYTES`` encoded.
        """
        self.send_data(address, encode_datagram(kind, message))

    def send_data(self, address, data):
        """Send an encoded message, for example the same one to many nodes.

        Parameters
        ----------
        address : str
            IP address and UDP port of the other node.
        data : bytes
            Output of :func:`encode_datagram`.
        """
        if self._transport is None or self._transport.is_closing():
            return
        destination = self._destinations.get(address)
        if destination is None:
            if len(self._destinations) >= MAX_DESTINATIONS:
                self._destinations.clear()
            destination = self._destinations[address] = _split_address(address)
        try:
            # Half the cost of the transport's own method, which queues the datagram if
            # the buffer of the socket is full; here it counts as lost.
            self._socket.sendto(data, destination)
        except OSError as error:
            _LOG.debug("datagram not delivered", why=str(error))

    def _receive(self, data, sender):
        try:
            kind, message = orjson.loads(data)
            if not isinstance(message, list):
                raise TypeError(f"message of type {type(message).__name__}")
            handler = self._handlers.get(kind)
            if handler is not None:
                handler(message, f"{sender[0]}:{sender[1]}")
        except UNREADABLE as error:
            _LOG.warning("datagram rejected", sender=sender[0], why=explain(error))

    def close(self):
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()


def encode_datagram(kind, message):
    """Return a message of a kind as the data of a datagram."""
    return orjson.dumps([kind, message])


def _split_address(address):
    host, _, port = address.rpartition(":")
    return host, int(port)


class _Protocol(asyncio.DatagramProtocol):
    def __init__(self, receive):
        self._receive = receive

    def datagram_received(self, data, addr):
        self._receive(data, addr)

    def error_received(self, exc):
        # The other node's port is closed; its part notices the missing answer.
        _LOG.debug("datagram not delivered", why=str(exc))
