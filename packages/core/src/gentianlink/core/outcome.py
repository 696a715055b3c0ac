"""Outcomes of a call, as reported to its caller."""

import enum


class Outcome(enum.Enum):
    """Whether a call was executed."""

    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
