"""A claim of another attempt."""

import attrs

from gentianlink.node.claims.claim import Claim


@attrs.frozen
class FoundClaim:
    """Row of a key that another attempt has claimed.

    Attributes
    ----------
    claim : Claim
        Content of the row.
    """

    claim: Claim
