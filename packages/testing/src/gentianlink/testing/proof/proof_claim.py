"""Claim of a test to prove a cell of the proof table."""

import attrs


@attrs.frozen
class ProofClaim:
    """One ``proves`` marker of a test.

    Attributes
    ----------
    promise, fault, step : str
        Cell of the table.
    test : str
        File and name of the test.
    """

    promise: str
    fault: str
    step: str
    test: str
