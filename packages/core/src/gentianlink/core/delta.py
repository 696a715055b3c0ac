"""The difference between two catalogue versions."""

import attrs

from gentianlink.core.entry import Entry
from gentianlink.core.service import Service


@attrs.frozen
class Delta:
    """Changes that turn one catalogue version into a later one.

    Attributes
    ----------
    from_version : int
        Version that the delta applies to.
    from_digest : str
        Digest of the version that the delta applies to.
    to_version : int
        Version that the delta results in.
    to_digest : str
        Digest of the version that the delta results in.
    services : tuple of Service
        Services that were added or changed.
    entries : tuple of Entry
        Entries that were added or changed.
    removed_services : tuple of str
        Names of removed services.
    removed_entries : tuple of str
        Names of removed entries.
    """

    from_version: int
    from_digest: str
    to_version: int
    to_digest: str
    services: tuple[Service, ...] = ()
    entries: tuple[Entry, ...] = ()
    removed_services: tuple[str, ...] = ()
    removed_entries: tuple[str, ...] = ()
