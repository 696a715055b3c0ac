"""Checks of the claims against the vocabulary of the table."""

from gentianlink.testing.proof.vocabulary import (
    FAULTS,
    FAULTS_NOT_BEARING,
    PROMISES,
    STEPS,
    STEPS_BY_PROMISE,
)


def validate_claims(claims):
    """Return a message for each claim that names no cell of the table.

    Parameters
    ----------
    claims : list of ClaimOfProof
        The claims.

    Returns
    -------
    list of str
        Messages, empty if all claims are good.
    """
    messages = []
    for claim in claims:
        for check in (_validate_words, _validate_step, _validate_bearing):
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
        for kind, word, known in kinds
        if word not in known
    ]


def _validate_step(claim):
    steps = STEPS_BY_PROMISE.get(claim.promise, STEPS)
    if claim.step in steps or claim.step not in STEPS:
        return []
    return [f"{claim.test}: step {claim.step!r} does not bear on {claim.promise!r}"]


def _validate_bearing(claim):
    if (claim.promise, claim.fault) not in FAULTS_NOT_BEARING:
        return []
    return [f"{claim.test}: {claim.fault!r} does not bear on {claim.promise!r}"]
