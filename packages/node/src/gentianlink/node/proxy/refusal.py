"""Answer that a node sends in place of a target's result."""

import attrs

from gentianlink.core.outcome import Outcome
from gentianlink.core.reason import Reason

STATUS_BY_REASON = {
    Reason.BAD_REQUEST: 400,
    Reason.NO_ROUTE: 404,
    Reason.BAD_DEADLINE: 400,
    Reason.BAD_KEY: 400,
    Reason.KEY_REQUIRED: 400,
    Reason.KEY_REUSED: 422,
    Reason.KEY_IN_PROGRESS: 409,
    Reason.KEY_EXPIRED: 410,
    Reason.OUTCOME_UNKNOWN: 409,
    Reason.ANSWER_NOT_KEPT: 409,
    Reason.BODY_TOO_LARGE: 413,
    Reason.RATE_LIMIT: 429,
    Reason.CONCURRENCY_LIMIT: 429,
    Reason.DEADLINE_PASSED: 504,
    Reason.TARGET_LOST: 502,
    Reason.BAD_ANSWER: 502,
    Reason.TARGET_SILENT: 504,
}
STATUS_UNAVAILABLE = 503


@attrs.frozen
class Refusal:
    """Why a call has no result of a target, and when a retry may succeed.

    Attributes
    ----------
    reason : Reason
        Cause of the refusal.
    outcome : Outcome
        Whether the call was run, was certainly not run, or may have been run.
    retry_after_ms : int
        Time in milliseconds after which a retry may succeed; 0 if none is advised.
    attempts : int
        Number of attempts made, including those of nodes further along the call.
    """

    reason: Reason
    outcome: Outcome = Outcome.NOT_RUN
    retry_after_ms: int = 0
    attempts: int = 1

    @property
    def status(self):
        """HTTP status of the answer."""
        return STATUS_BY_REASON.get(self.reason, STATUS_UNAVAILABLE)


def combine_refusals(earlier, later):
    """Return the refusal of a call after a further attempt.

    Parameters
    ----------
    earlier : Refusal or None
        Result of the earlier attempts; None before the first.
    later : Refusal or None
        Result of the later attempt.

    Returns
    -------
    Refusal or None
        The later one, with the outcome "not run" only if no earlier attempt may have
        run.
    """
    if earlier is None or later is None or earlier.outcome is not Outcome.UNKNOWN:
        return later
    return attrs.evolve(later, outcome=Outcome.UNKNOWN)


def is_not_run(refusal):
    """Return whether a refusal, None for an answer, says that the call was not run."""
    return refusal is not None and refusal.outcome is Outcome.NOT_RUN
