"""Claim of another attempt."""

import attrs

from gentianlink.node.claims.claim import Claim


@attrs.frozen
class FoundClaim:
    """Result of claiming a key that another attempt has already claimed.

    Attributes
    ----------
    claim : Claim
        Content of the row.
    """

    claim: Claim
