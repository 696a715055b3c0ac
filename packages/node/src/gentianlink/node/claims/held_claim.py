"""A claim that this node holds."""

import attrs

from gentianlink.node.claims.claim import Claim


@attrs.frozen
class HeldClaim:
    """Right to execute the work of a key once; it does not lapse.

    Attributes
    ----------
    key : str
        Key of the row.
    claim : Claim
        Content of the row.
    revision : int
        Revision of the row; only the holder writes over it.
    """

    key: str
    claim: Claim
    revision: int
