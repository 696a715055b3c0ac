"""An HTTP answer of a platform service."""

import attrs


@attrs.frozen
class ServiceAnswer:
    """Status and body of a complete answer.

    Attributes
    ----------
    code : int
        HTTP status.
    body : bytes
        Body of the answer.
    """

    code: int
    body: bytes
