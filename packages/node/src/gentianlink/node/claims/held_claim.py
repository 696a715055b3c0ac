"""Claim that an attempt of this node holds."""

import attrs

from gentianlink.node.claims.claim import Claim


@attrs.frozen
class HeldClaim:
    """Right to execute the work of a key once; unlike a lease, it does not expire.

    Attributes
    ----------
    key : str
        Key of the row.
    claim : Claim
        Content of the row.
    revision : int
        Revision of the row; only the holder overwrites the row.
    """

    key: str
    claim: Claim
    revision: int
