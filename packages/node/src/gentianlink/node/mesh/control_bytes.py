"""Byte counters of the messages between nodes, by direction and kind."""

import collections

SENT = "sent"
RECEIVED = "received"


class ControlBytes:
    """Total serialized size of the messages sent and received."""

    def __init__(self):
        self._bytes = collections.Counter()

    @property
    def totals(self):
        """Bytes keyed by ``"<direction> <kind>"``."""
        return dict(self._bytes)

    def count_sent(self, kind, message):
        """Add the size of a sent message.

        Parameters
        ----------
        kind : str
            Kind of the message.
        message : protobuf message
            The message.
        """
        self._bytes[f"{SENT} {kind}"] += message.ByteSize()

    def count_received(self, kind, message):
        """Add the size of a received message.

        Parameters
        ----------
        kind : str
            Kind of the message.
        message : protobuf message
            The message.
        """
        self._bytes[f"{RECEIVED} {kind}"] += message.ByteSize()
