"""Spread catalogue versions over links: have, fetch and content frames."""

from gentianlink.core.catalogue import Catalogue
from gentianlink.core.codec import decode, encode
from gentianlink.core.delta import Delta
from gentianlink.core.errors import DeltaMismatch
from gentianlink.node.clock import get_now_ms
from gentianlink.node.mesh import mesh_pb2


class VersionExchange:
    """What is done with the frames about versions.

    Parameters
    ----------
    applied : AppliedCatalogue
        Catalogue version in force.
    """

    def __init__(self, applied):
        self._applied = applied

    @property
    def version(self):
        """Version in force."""
        return self._applied.version

    def open_link(self, link):
        """Tell a new neighbour which version is in force here."""
        if self._applied.version:
            have = mesh_pb2.Have(version=self._applied.version)
            link.send(mesh_pb2.Frame(have=have))

    def handle_have(self, version, link):
        """Ask for a version that is later than the one in force here."""
        link.version = max(link.version, version)
        if version > self._applied.version:
            fetch = mesh_pb2.Fetch(version=self._applied.version)
            link.send(mesh_pb2.Frame(fetch=fetch))

    def handle_fetch(self, version, link):
        """Send the version in force to a neighbour that lacks it."""
        if self._applied.version > version:
            link.send(self._make_content(version))

    def handle_content(self, content, link):
        """Put a version into force; one that doesn't fit is fetched whole."""
        now_ms = get_now_ms()
        link.version = max(link.version, content.version)
        try:
            if content.delta:
                self._applied.apply_delta(decode(content.delta, Delta), now_ms)
            else:
                catalogue = decode(content.snapshot, Catalogue)
                self._applied.apply_snapshot(catalogue, content.digest, now_ms)
        except DeltaMismatch:
            link.send(mesh_pb2.Frame(fetch=mesh_pb2.Fetch(version=0)))

    def _make_content(self, known_version):
        applied = self._applied
        content = mesh_pb2.Content(version=applied.version, digest=applied.digest)
        if applied.delta is not None and applied.delta.from_version == known_version:
            content.delta = encode(applied.delta)
        else:
            content.snapshot = encode(applied.catalogue)
        return mesh_pb2.Frame(content=content)

    def spread(self, links):
        """Send the version in force to the neighbours that lack it.

        Parameters
        ----------
        links : iterable of Link
            Links to all neighbours.
        """
        for link in links:
            if link.version == self._applied.version - 1:
                link.send(self._make_content(link.version))
                link.version = self._applied.version
            elif link.version < self._applied.version:
                self.open_link(link)
