"""The answer of a call, kept for repeats of it."""

import attrs

MAX_HEADERS_BYTES = 4096
DROPPED_HEADERS = frozenset(("content-length", "set-cookie"))
DROPPED_PREFIX = "x-gentianlink-"


@attrs.frozen
class RecordedAnswer:
    """Answer of the target as a repeat gets it.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : tuple of tuple of str
        Names and values of the end-to-end headers.
    body : str
        Body in Latin-1.
    is_whole : bool
        Whether headers and body were small enough to be kept.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: str = ""
    is_whole: bool = True


def make_recorded_answer(status, headers, body):
    """Return what is kept of an answer.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : HTTPHeaders
        End-to-end headers.
    body : bytes or None
        Body, None if it was larger than the bound.

    Returns
    -------
    RecordedAnswer
        The whole answer, or its status alone.
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
