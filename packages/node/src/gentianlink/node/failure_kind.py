"""Kinds of failures of calls that say something about an endpoint."""

import enum

from gentianlink.core.reason import Reason


class FailureKind(enum.Enum):
    """How a call to an endpoint failed."""

    REFUSED = "refused"
    RESET = "reset"
    SILENT = "silent"


# Failures of calls that count against the endpoint.
FAILURE_KINDS = {
    Reason.TARGET_UNREACHABLE: FailureKind.REFUSED,
    Reason.TARGET_LOST: FailureKind.RESET,
    Reason.TARGET_SILENT: FailureKind.SILENT,
}
