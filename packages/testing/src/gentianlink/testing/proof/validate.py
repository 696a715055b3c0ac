"""Validation of proof claims against the vocabulary of the table."""

from gentianlink.testing.proof.vocabulary import (
    FAULTS,
    FAULTS_NOT_APPLICABLE,
    PROMISES,
    STEPS,
    STEPS_BY_PROMISE,
)


def validate_claims(claims):
    """Return the problems of claims that name no cell of the table.

    Parameters
    ----------
    claims : list of ProofClaim
        The claims.

    Returns
    -------
    list of str
        Messages; empty if all claims are valid.
    """
    messages = []
    for claim in claims:
        for check in (_validate_words, _validate_step, _validate_applicability):
            messages.extend(check(claim))
    return messages


def _validate_words(claim):
    kinds = (
        ("promise", claim.promise, PROMISES),
        ("fault", claim.fault, FAULTS),
        ("step", claim.step, STEPS),
    )
    return [
        f"{claim.test}: unknown {kind} {word!r}"
        for kind, word, defined_words in kinds
        if word not in defined_words
    ]


def _validate_step(claim):
    steps = STEPS_BY_PROMISE.get(claim.promise, STEPS)
    if claim.step in steps or claim.step not in STEPS:
        return []
    return [f"{claim.test}: step {claim.step!r} does not apply to {claim.promise!r}"]


def _validate_applicability(claim):
    if (claim.promise, claim.fault) not in FAULTS_NOT_APPLICABLE:
        return []
    return [f"{claim.test}: {claim.fault!r} does not apply to {claim.promise!r}"]
