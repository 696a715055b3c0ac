"""A changed or removed row of a table."""

import attrs


@attrs.frozen
class RowChange:
    """A row from the change feed or from a full read of a table.

    Attributes
    ----------
    key : str
        Key of the row.
    revision : int
        Revision of the transaction that wrote it.
    value : bytes
        Content of the row; empty if the row was removed.
    is_removed : bool
        Whether the row was removed.
    """

    key: str
    revision: int
    value: bytes
    is_removed: bool = False
