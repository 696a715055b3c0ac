"""Decoder for JSON answers of the platform."""

import orjson

from gentianlink.core.errors import PlatformAnswerInvalid


def decode_json(answer):
    """Decode the JSON body of an answer.

    Parameters
    ----------
    answer : ServiceAnswer
        The answer.

    Returns
    -------
    dict
        The decoded object.

    Raises
    ------
    PlatformAnswerInvalid
        If the body is not a JSON object.
    """
    try:
        value = orjson.loads(answer.body)
    except orjson.JSONDecodeError as error:
        raise PlatformAnswerInvalid("answer is not JSON") from error
    if not isinstance(value, dict):
        raise PlatformAnswerInvalid("answer is not a JSON object")
    return value
