"""An accepted change as the audit trail records it."""

import attrs


@attrs.frozen
class Change:
    """One row of the audit trail.

    Attributes
    ----------
    version : int
        Version that the change created.
    digest : str
        Digest of that version.
    parent_digest : str
        Digest of the preceding version.
    change_id : str
        Identifier chosen by the operator's command; makes retries idempotent.
    who : str
        Name of the operator.
    when_ms : int
        Time of the change in milliseconds since the Unix epoch.
    why : str
        Reason given by the operator.
    difference : tuple of str
        One line for each service or entry added, changed or removed.
    """

    version: int
    digest: str
    parent_digest: str
    change_id: str
    who: str
    when_ms: int
    why: str
    difference: tuple[str, ...] = ()
