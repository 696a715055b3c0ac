"""Classification of targets' answers by status and headers."""

import enum

from gentianlink.platform import wire

SUCCESS_STATUSES = range(200, 300)
# Statuses that guarantee that the call was not executed and never will be.
NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))
STATUS_OTHER_TARGET = 421


class AnswerKind(enum.Enum):
    """Kinds of answers from a target's address."""

    ANSWER = "answer"
    NOT_EXECUTED = "not executed"
    OTHER_TARGET = "another target has the address"
    OTHER_CALL = "belongs to another call"
    BROKEN = "broken"


def classify_answer(status, headers, request_id):
    """Classify an answer by its status and headers.

    Parameters
    ----------
    status : int
        Status of the answer.
    headers : HTTPHeaders
        Headers of the answer.
    request_id : str
        Request id of the call that was sent.

    Returns
    -------
    AnswerKind
        Kind of the answer.
    """
    echoed_id = headers.get(wire.REQUEST_ID)
    if echoed_id is not None and echoed_id != request_id:
        return AnswerKind.OTHER_CALL
    if status == STATUS_OTHER_TARGET:
        return AnswerKind.OTHER_TARGET
    if wire.NOT_EXECUTED in headers:
        return AnswerKind.NOT_EXECUTED
    is_sealed = wire.ANSWER_SEAL in headers
    if not is_sealed and (
        status in SUCCESS_STATUSES or status in NOT_EXECUTED_STATUSES
    ):
        return AnswerKind.BROKEN
    return AnswerKind.ANSWER
