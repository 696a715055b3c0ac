"""Reasons for which a link ends."""

import enum


class LinkEnd(enum.Enum):
    """Why a link was refused or given up."""

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
        """Whether the end says nothing against the neighbour's health."""
        return self not in (LinkEnd.STREAM_ENDED, LinkEnd.SILENT, LinkEnd.SLOW)
