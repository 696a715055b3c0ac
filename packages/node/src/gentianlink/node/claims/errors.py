"""Errors of claims."""

from gentianlink.core.errors import GentianlinkError


class ClaimError(GentianlinkError):
    """Base class of the errors of claims."""


class ClaimNotMade(ClaimError):
    """No claim of this attempt exists, and no write in flight can create one."""


class ClaimUnresolved(ClaimError):
    """The write of a claim may have taken effect, or may still take effect.

    The handler must have the claim released in the background (`ClaimTable.abandon`).

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
        super().__init__(f"claim {key}: unknown whether its write took effect")
        self.key = key
        self.claim = claim
        self.base_revision = base_revision


class ClaimTimeout(ClaimError):
    """The deadline of the call passed before the claim was made or refused.

    The settler releases the claim in the background if it was made after all.
    """
