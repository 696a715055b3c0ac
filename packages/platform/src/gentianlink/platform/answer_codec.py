"""Classification of targets' answers by status and headers."""

import enum
import math

from gentianlink.core.errors import CodecError
from gentianlink.platform import wire

SUCCESS_STATUSES = range(200, 300)
# Statuses that guarantee that the call was not executed and never will be.
NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))
STATUS_OTHER_TARGET = 421
IS_LEAVING = "1"


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


def is_from_target(headers):
    """Return whether the headers show that a target itself made the answer."""
    return wire.ANSWER_SEAL in headers or wire.NOT_EXECUTED in headers


def is_leaving(headers):
    """Return whether a target says in an answer that it is about to leave."""
    return headers.get(wire.LEAVING) == IS_LEAVING


def decode_rate_limit(headers):
    """Return the rate limit that a target names in an answer.

    Parameters
    ----------
    headers : HTTPHeaders
        Headers of the answer.

    Returns
    -------
    float or None
        Calls a second that the target accepts from all nodes together; None if the
        answer names no limit.

    Raises
    ------
    CodecError
        If the value is not a single finite number of at least 0.
    """
    value = headers.get(wire.RATE_LIMIT)
    if value is None:
        return None
    try:
        rate_limit = float(value)
    except ValueError as error:
        raise CodecError(f"rate limit {value!r} is not a number") from error
    if not math.isfinite(rate_limit) or rate_limit < 0:
        raise CodecError(f"rate limit {value!r} is out of range")
    return rate_limit
