"""Bytes of the messages between nodes, by kind and direction."""

import collections

SENT = "sent"
RECEIVED = "received"


class ControlBytes:
    """Serialized sizes of messages, summed up."""

    def __init__(self):
        self._bytes = collections.Counter()

    @property
    def totals(self):
        """Bytes by ``direction kind``."""
        return dict(self._bytes)

    def count_sent(self, kind, message):
        """Count a message that is sent.

        Parameters
        ----------
        kind : str
            Kind of the message.
        message : protobuf message
            The message.
        """
        self._bytes[f"{SENT} {kind}"] += message.ByteSize()

    def count_received(self, kind, message):
        """Count a message that came in.

        Parameters
        ----------
        kind : str
            Kind of the message.
        message : protobuf message
            The message.
        """
        self._bytes[f"{RECEIVED} {kind}"] += message.ByteSize()
