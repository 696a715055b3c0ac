"""Refusals of repeats: calls whose key was claimed before."""

from gentianlink.core.outcome import Outcome
from gentianlink.core.reason import Reason
from gentianlink.node.claims.claim_state import ClaimState
from gentianlink.node.proxy.refusal import Refusal

RETRY_AFTER_MS = 500
MAX_IN_PROGRESS_MS = 15 * 60 * 1000


def compute_repeat_refusal(found, claim, is_live, now_ms):
    """Return why a call whose key was claimed before is refused.

    Parameters
    ----------
    found : Claim
        Content of the row.
    claim : Claim
        Claim of the repeat.
    is_live : bool
        Whether the holder of the found claim may still be running.
    now_ms : int
        Present time in milliseconds since the epoch.

    Returns
    -------
    Refusal or None
        None if the recorded answer is to be replayed.
    """
    if found.digest and found.digest != claim.digest:
        return Refusal(Reason.KEY_REUSED)
    if found.state is ClaimState.DONE:
        return _refuse_if_not_kept(found.answer)
    is_recent = now_ms - found.claimed_ms <= MAX_IN_PROGRESS_MS
    if found.state is ClaimState.CLAIMED and is_live and is_recent:
        return Refusal(Reason.KEY_IN_PROGRESS, Outcome.UNKNOWN, RETRY_AFTER_MS)
    return Refusal(Reason.OUTCOME_UNKNOWN, Outcome.UNKNOWN)


def _refuse_if_not_kept(answer):
    if answer is None or not answer.is_whole:
        return Refusal(Reason.ANSWER_NOT_KEPT, Outcome.DONE)
    return None
