"""An answer of a service of the platform."""

import attrs


@attrs.frozen
class ServiceAnswer:
    """Status and body of an answer that arrived whole.

    Attributes
    ----------
    code : int
        HTTP status.
    body : bytes
        Body of the answer.
    """

    code: int
    body: bytes
