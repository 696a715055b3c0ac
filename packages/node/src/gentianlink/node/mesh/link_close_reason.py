"""Reasons for which a link is closed."""

import enum


class LinkCloseReason(enum.Enum):
    """Reason for which a link was refused or closed."""

    STREAM_ENDED = "stream-ended"
    NOT_CHOSEN = "not-chosen"
    DUPLICATE = "duplicate"
    SELF = "self"
    FULL = "full"
    SILENT = "silent"
    SLOW = "slow"
    FLOOD = "flood"
    MALFORMED = "malformed"
    STOPPING = "stopping"

    @property
    def is_orderly(self):
        """Whether the reason gives no cause to suspect that the neighbour failed."""
        return self not in (
            LinkCloseReason.STREAM_ENDED,
            LinkCloseReason.SILENT,
            LinkCloseReason.SLOW,
        )
