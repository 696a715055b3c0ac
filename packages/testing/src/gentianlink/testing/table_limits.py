"""Limits of the table service stand-in."""

import attrs


@attrs.frozen
class TableLimits:
    """Rates that the stand-in keeps to; 0 means no limit.

    Attributes
    ----------
    writes_per_s : float
        Transactions a second.
    reads_per_s : float
        Reads a second.
    max_wait_ms : int
        Longest time that a request waits in the queue; beyond it, status 503.
    count_rows : bool
        Whether a transaction counts once for each row that it writes.
    """

    writes_per_s: float = 0.0
    reads_per_s: float = 0.0
    max_wait_ms: int = 500
    count_rows: bool = False
