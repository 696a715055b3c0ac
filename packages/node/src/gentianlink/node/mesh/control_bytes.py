"""Bytes of the frames between nodes, by kind and direction."""

import collections

SENT = "sent"
RECEIVED = "received"


class ControlBytes:
    """Serialized sizes of frames, summed up."""

    def __init__(self):
        self._bytes = collections.Counter()

    @property
    def totals(self):
        """Bytes by ``direction kind``."""
        return dict(self._bytes)

    def count_sent(self, frame):
        """Count a frame that is sent."""
        self._bytes[f"{SENT} {frame.WhichOneof('body')}"] += frame.ByteSize()

    def count_received(self, frame):
        """Count a frame that came in."""
        self._bytes[f"{RECEIVED} {frame.WhichOneof('body')}"] += frame.ByteSize()
