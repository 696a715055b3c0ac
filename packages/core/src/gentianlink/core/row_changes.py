"""Changed rows of a table, and the revision that they lead to."""

import attrs

from gentianlink.core.row_change import RowChange


@attrs.frozen
class RowChanges:
    """Rows in the order of their changes.

    Attributes
    ----------
    rows : tuple of RowChange
        Changed rows.
    revision : int
        Revision of the table service from which the feed continues.
    era : int
        Era of the table service in which the revision is valid. An era begins when the
        service returns from an older copy; it gives out the later revisions again.
    """

    rows: tuple[RowChange, ...]
    revision: int
    era: int = 0
