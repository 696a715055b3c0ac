"""HTTP status and retry delay for a caller whose call no target answered."""

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
# Reasons for which a call is refused before it is routed.
STATUS_BY_REASON_NOT_RUN = {
    Reason.UNKNOWN_KEY: 401,
    Reason.QUOTA_EXCEEDED: 429,
}
STATUS_BAD_GATEWAY = 502
STATUS_GATEWAY_TIMEOUT = 504
TIMEOUT_REASONS = (Reason.DEADLINE_PASSED, Reason.TARGET_SILENT)
MS_PER_S = 1000


def get_status(refusal):
    """Return the HTTP status that tells a caller of a refusal.

    Status 503 promises that the call was not run, so a refusal whose outcome is
    unknown never gets it.

    Parameters
    ----------
    refusal : Refusal
        Why no target answered.

    Returns
    -------
    int
        HTTP status.
    """
    if refusal.reason in STATUS_BY_REASON:
        return STATUS_BY_REASON[refusal.reason]
    if refusal.outcome is Outcome.NOT_RUN:
        return STATUS_BY_REASON_NOT_RUN.get(refusal.reason, STATUS_UNAVAILABLE)
    if refusal.reason in TIMEOUT_REASONS:
        return STATUS_GATEWAY_TIMEOUT
    return STATUS_BAD_GATEWAY


def format_retry_after(retry_after_ms):
    """Return the value of Retry-After: seconds, rounded up to whole milliseconds."""
    return f"{math.ceil(retry_after_ms) / MS_PER_S:g}"
