"""The head row: which catalogue version is accepted last."""

import attrs


@attrs.frozen
class Head:
    """Content of the head row in the table service.

    Attributes
    ----------
    version : int
        Version accepted last.
    digest : str
        Digest of that version.
    change_id : str
        Change that made the version.
    when_ms : int
        Time of the change in milliseconds since the epoch.
    """

    version: int = 0
    digest: str = ""
    change_id: str = ""
    when_ms: int = 0
