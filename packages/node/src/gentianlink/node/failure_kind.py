"""Kinds of call failures that count against an endpoint."""

import enum

from gentianlink.core.reason import Reason


class FailureKind(enum.Enum):
    """How a call to an endpoint failed."""

    REFUSED = "refused"
    RESET = "reset"
    SILENT = "silent"


# Reasons of failed attempts that count against the endpoint.
FAILURE_KINDS = {
    Reason.TARGET_UNREACHABLE: FailureKind.REFUSED,
    Reason.TARGET_LOST: FailureKind.RESET,
    Reason.TARGET_SILENT: FailureKind.SILENT,
}
