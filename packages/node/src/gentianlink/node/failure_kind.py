"""Kinds of failures of calls that say something about an endpoint."""

import enum


class FailureKind(enum.Enum):
    """How a call to an endpoint failed."""

    REFUSED = "refused"
    RESET = "reset"
    SILENT = "silent"
