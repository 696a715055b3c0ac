"""A row of the table service."""

import attrs


@attrs.frozen
class Row:
    """A row at the revision at which it was read.

    Attributes
    ----------
    key : str
        Key of the row.
    revision : int
        Revision for conditional writes; 0 if the row does not exist.
    value : str
        Content of the row.
    """

    key: str
    revision: int
    value: str
