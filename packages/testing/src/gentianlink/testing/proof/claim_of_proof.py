"""A test's claim to prove a cell of the table."""

import attrs


@attrs.frozen
class ClaimOfProof:
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
