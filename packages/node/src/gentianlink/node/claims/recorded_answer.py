"""Answer of a call that is recorded in its claim, for repeats of the call."""

import attrs

MAX_HEADERS_BYTES = 4096
DROPPED_HEADERS = frozenset(("content-length", "set-cookie"))
DROPPED_PREFIX = "x-gentianlink-"


@attrs.frozen
class RecordedAnswer:
    """Answer of the target as it is replayed to a repeat.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : tuple of tuple of str
        Names and values of the end-to-end headers.
    body : str
        Body, decoded as Latin-1 so that every byte value is kept.
    is_whole : bool
        Whether headers and body are kept; False if they were too large or were
        removed after the retention.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: str = ""
    is_whole: bool = True


def make_recorded_answer(status, headers, body):
    """Return the part of an answer that is recorded.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : HTTPHeaders
        End-to-end headers.
    body : bytes or None
        Body; None if it was larger than the limit.

    Returns
    -------
    RecordedAnswer
        Status, headers and body, or only the status if they are too large.
    """
    kept = tuple(
        (name, value)
        for name, value in headers.get_all()
        if not _is_dropped(name.lower())
    )
    size = sum(len(name) + len(value) for name, value in kept)
    if body is None or size > MAX_HEADERS_BYTES:
        return RecordedAnswer(status, is_whole=False)
    return RecordedAnswer(status, kept, body.decode("latin-1"))


def _is_dropped(name):
    return name in DROPPED_HEADERS or name.startswith(DROPPED_PREFIX)
