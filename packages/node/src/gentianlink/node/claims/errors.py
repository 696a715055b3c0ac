"""Failures of a claim."""

from gentianlink.core.errors import GentianlinkError


class ClaimError(GentianlinkError):
    """Base class of failures of a claim."""


class ClaimNotMade(ClaimError):
    """No claim of this attempt exists, and none can appear any more."""


class ClaimUnresolved(ClaimError):
    """A claim of this attempt may exist or appear; it must be settled later.

    Parameters
    ----------
    key : str
        Key of the row.
    claim : Claim
        The claim that was written.
    base_revision : int
        Revision that the write was conditional on.
    """

    def __init__(self, key, claim, base_revision):
        super().__init__(f"claim {key} is not resolved")
        self.key = key
        self.claim = claim
        self.base_revision = base_revision


class ClaimTooLate(ClaimError):
    """The deadline passed during the claim; it is settled in the background."""
