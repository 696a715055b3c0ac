"""What callers are told when no target has answered."""

import math

from gentianlink.core.outcome import Outcome
from gentianlink.core.reason import Reason
from gentianlink.sidecar.status import STATUS_UNAVAILABLE

STATUS_BY_REASON = {
    Reason.BAD_REQUEST: 400,
    Reason.BAD_DEADLINE: 400,
    Reason.NO_ROUTE: 404,
    Reason.BODY_TOO_LARGE: 413,
}
STATUS_BAD_GATEWAY = 502
STATUS_GATEWAY_TIMEOUT = 504
REASONS_OF_TIME = (Reason.DEADLINE_PASSED, Reason.TARGET_SILENT)
MS_PER_S = 1000


def get_status(refusal):
    """Return the status of a refusal.

    Only a call that was not run gets a status that promises this.

    Parameters
    ----------
    refusal : Refusal
        Why no target has answered.

    Returns
    -------
    int
        HTTP status.
    """
    if refusal.reason in STATUS_BY_REASON:
        return STATUS_BY_REASON[refusal.reason]
    if refusal.outcome is Outcome.NOT_RUN:
        return STATUS_UNAVAILABLE
    if refusal.reason in REASONS_OF_TIME:
        return STATUS_GATEWAY_TIMEOUT
    return STATUS_BAD_GATEWAY


def format_retry_after(retry_after_ms):
    """Return seconds with a fraction, rounded up to whole milliseconds."""
    return f"{math.ceil(retry_after_ms) / MS_PER_S:g}"
