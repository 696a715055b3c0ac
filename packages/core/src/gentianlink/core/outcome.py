"""Outcomes of a call as callers are told."""

import enum


class Outcome(enum.Enum):
    """What happened to a call."""

    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
