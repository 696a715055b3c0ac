"""One immutable version of the catalogue."""

import attrs

from gentianlink.core.entry import Entry
from gentianlink.core.service import Service


@attrs.frozen
class Catalogue:
    """Complete content of one catalogue version.

    Attributes
    ----------
    version : int
        Position in the total order of accepted versions; 0 is the empty catalogue.
    services : tuple of Service
        Services, sorted by name.
    entries : tuple of Entry
        Entries, sorted by name.
    """

    version: int = 0
    services: tuple[Service, ...] = ()
    entries: tuple[Entry, ...] = ()
