"""Record of a broken promise."""

import attrs


@attrs.frozen
class Violation:
    """One observation that contradicts a promise.

    Attributes
    ----------
    promise : str
        Name of the promise, such as ``at-most-once``.
    subject : str
        Key, submission, node, target or change concerned.
    detail : str
        What was observed.
    """

    promise: str
    subject: str
    detail: str
