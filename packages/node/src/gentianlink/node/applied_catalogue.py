"""The catalogue version that this node enforces."""

from gentianlink.core.catalogue import Catalogue
from gentianlink.core.codec import compute_digest
from gentianlink.core.errors import CatalogueInvalid, DigestMismatch
from gentianlink.ops.delta import apply_delta
from gentianlink.ops.validate_catalogue import validate_catalogue


class AppliedCatalogue:
    """One reference to the version in force; it is swapped whole and never goes back.

    Parameters
    ----------
    on_applied : callable
        Called with no arguments after a later version came into force.
    """

    def __init__(self, on_applied):
        self._on_applied = on_applied
        self._catalogue = Catalogue()
        self._digest = compute_digest(self._catalogue)
        self._delta = None
        self._applied_ms = {}

    @property
    def catalogue(self):
        """Catalogue in force."""
        return self._catalogue

    @property
    def version(self):
        """Version in force."""
        return self._catalogue.version

    @property
    def digest(self):
        """Digest of the version in force."""
        return self._digest

    @property
    def delta(self):
        """Delta that led to the version in force, None after a snapshot."""
        return self._delta

    @property
    def applied_ms(self):
        """Times at which versions came into force, by version."""
        return dict(self._applied_ms)

    def apply_snapshot(self, catalogue, digest, now_ms):
        """Put a whole version into force.

        Parameters
        ----------
        catalogue : Catalogue
            The version.
        digest : str
            Digest that it must have.
        now_ms : int
            Present time in milliseconds since the epoch.

        Returns
        -------
        bool
            False if the version is not later than the one in force.

        Raises
        ------
        CatalogueError
            If the version is bad; nothing of it is applied.
        """
        if catalogue.version <= self.version:
            return False
        if compute_digest(catalogue) != digest:
            raise DigestMismatch(f"version {catalogue.version}")
        self._swap(catalogue, digest, None, now_ms)
        return True

    def apply_delta(self, delta, now_ms):
        """Put the version that a delta leads to into force.

        Parameters
        ----------
        delta : Delta
            Difference from the version in force.
        now_ms : int
            Present time in milliseconds since the epoch.

        Returns
        -------
        bool
            False if the version is not later than the one in force.

        Raises
        ------
        CatalogueError
            If the delta doesn't fit or the version is bad; nothing is applied.
        """
        if delta.to_version <= self.version:
            return False
        catalogue = apply_delta(self._catalogue, self._digest, delta)
        self._swap(catalogue, delta.to_digest, delta, now_ms)
        return True

    def _swap(self, catalogue, digest, delta, now_ms):
        problems = validate_catalogue(catalogue, f"version {catalogue.version}")
        if problems:
            raise CatalogueInvalid(problems)
        self._catalogue = catalogue
        self._digest = digest
        self._delta = delta
        self._applied_ms[catalogue.version] = now_ms
        self._on_applied()
