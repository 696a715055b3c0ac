"""An HTTP answer of a platform service."""

from collections.abc import Mapping

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
    headers : Mapping of str to str
        Headers of the answer.
    """

    code: int
    body: bytes
    headers: Mapping[str, str] = attrs.field(factory=dict, eq=False)
