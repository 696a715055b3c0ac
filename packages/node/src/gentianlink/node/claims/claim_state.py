"""States of a claim row."""

import enum


class ClaimState(enum.Enum):
    """What a claim row says about the work of its key."""

    CLAIMED = "claimed"
    RELEASED = "released"
    DONE = "done"
    UNKNOWN = "unknown"
