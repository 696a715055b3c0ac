"""The head row, which names the latest accepted catalogue version."""

import attrs


@attrs.frozen
class Head:
    """Content of the head row in the table service.

    Attributes
    ----------
    version : int
        Latest accepted version.
    digest : str
        Digest of that version.
    change_id : str
        Identifier of the change that created the version.
    when_ms : int
        Time of the change in milliseconds since the Unix epoch.
    """

    version: int = 0
    digest: str = ""
    change_id: str = ""
    when_ms: int = 0
