"""The difference between two catalogue versions."""

import attrs

from gentianlink.core.entry import Entry
from gentianlink.core.service import Service


@attrs.frozen
class Delta:
    """What turns one catalogue version into a later one.

    Attributes
    ----------
    from_version : int
        Version that the delta starts from.
    from_digest : str
        Digest of the version that the delta starts from.
    to_version : int
        Version that the delta leads to.
    to_digest : str
        Digest of the version that the delta leads to.
    services : tuple of Service
        Services added or changed.
    entries : tuple of Entry
        Entries added or changed.
    removed_services : tuple of str
        Names of services removed.
    removed_entries : tuple of str
        Names of entries removed.
    """

    from_version: int
    from_digest: str
    to_version: int
    to_digest: str
    services: tuple[Service, ...] = ()
    entries: tuple[Entry, ...] = ()
    removed_services: tuple[str, ...] = ()
    removed_entries: tuple[str, ...] = ()
