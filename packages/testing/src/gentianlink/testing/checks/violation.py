"""A broken promise."""

import attrs


@attrs.frozen
class Violation:
    """One observation that contradicts a promise.

    Attributes
    ----------
    promise : str
        The promise.
    subject : str
        Key, submission, node or target concerned.
    detail : str
        What was seen.
    """

    promise: str
    subject: str
    detail: str
