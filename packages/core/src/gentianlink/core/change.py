"""An accepted change as the audit trail keeps it."""

import attrs


@attrs.frozen
class Change:
    """One row of the audit trail.

    Attributes
    ----------
    version : int
        Version that the change made.
    digest : str
        Digest of that version.
    parent_digest : str
        Digest of the version before.
    change_id : str
        Identifier chosen by the operator's command, for idempotent retries.
    who : str
        Operator.
    when_ms : int
        Time of the change in milliseconds since the epoch.
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
