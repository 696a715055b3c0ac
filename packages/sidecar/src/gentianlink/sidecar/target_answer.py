"""Classify the answers of a target."""

from gentianlink.core.reason import Reason
from gentianlink.node.proxy.refusal import Refusal
from gentianlink.platform.answer_codec import (
    AnswerKind,
    classify_answer,
    is_from_target,
)
from gentianlink.sidecar.status import STALE_STATE_RETRY_MS
from gentianlink.sidecar.verdict import ANSWER, BAD, FOREIGN, Verdict

_VERDICTS = {
    AnswerKind.ANSWER: ANSWER,
    AnswerKind.OTHER_CALL: FOREIGN,
    AnswerKind.BROKEN: BAD,
    AnswerKind.NOT_EXECUTED: Verdict(
        Refusal(Reason.TARGET_SHED, retry_after_ms=STALE_STATE_RETRY_MS)
    ),
    AnswerKind.OTHER_TARGET: Verdict(
        Refusal(Reason.OTHER_TARGET, retry_after_ms=STALE_STATE_RETRY_MS)
    ),
}
# Kinds of answers whose other headers describe the target that the call was sent to.
_KINDS_OF_TARGET = (AnswerKind.ANSWER, AnswerKind.NOT_EXECUTED)


def make_target_classifier(request_id, note_headers):
    """Return the function that classifies the answer to a call.

    Parameters
    ----------
    request_id : str
        Request id of the call.
    note_headers : callable
        Called with the headers of each answer that the target itself made.

    Returns
    -------
    callable
        Takes status and headers, returns a Verdict.
    """

    def classify(status, headers):
        kind = classify_answer(status, headers, request_id)
        if kind in _KINDS_OF_TARGET and is_from_target(headers):
            note_headers(headers)
        return _VERDICTS[kind]

    return classify
