"""Rate limits of the table service stand-in."""

import attrs


@attrs.frozen
class TableLimits:
    """Rate limits that the stand-in enforces; a rate of 0 means no limit.

    Attributes
    ----------
    writes_per_s : float
        Transactions per second; rows per second with `count_rows`.
    reads_per_s : float
        Reads per second.
    max_wait_ms : int
        Longest wait in the queue in milliseconds; a request that would wait longer
        gets status 503.
    count_rows : bool
        Whether the cost of a transaction is its number of rows instead of 1.
    """

    writes_per_s: float = 0.0
    reads_per_s: float = 0.0
    max_wait_ms: int = 500
    count_rows: bool = False
