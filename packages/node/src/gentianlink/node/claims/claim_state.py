"""States of a claim row."""

import enum


class ClaimState(enum.Enum):
    """State of the work of a key.

    RELEASED work was not executed, so the same call may claim the key again. UNKNOWN
    work may have been executed, so the key is never claimed again.
    """

    CLAIMED = "claimed"
    RELEASED = "released"
    DONE = "done"
    UNKNOWN = "unknown"
