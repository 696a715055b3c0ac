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
    """

    rows: tuple[RowChange, ...]
    revision: int
