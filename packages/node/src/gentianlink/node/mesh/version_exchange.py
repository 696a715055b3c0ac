"""Spread catalogue versions over links: have, fetch, content and busy frames."""

import random

from gentianlink.core.codec import decode
from gentianlink.core.delta import Delta
from gentianlink.core.errors import CatalogueError, CodecError
from gentianlink.node.clock import get_now_ms
from gentianlink.node.log import get_logger
from gentianlink.node.mesh import mesh_pb2
from gentianlink.node.mesh.snapshot_limit import SnapshotLimit
from gentianlink.node.mesh.version_fetch import VersionFetch

_LOG = get_logger("mesh")

RETRY_USELESS_MS = 10_000
MAX_CONTENT_BYTES = 3 << 20
TOO_LARGE_WAIT_MS = 60_000


class VersionExchange:
    """What is done with the frames about versions.

    Parameters
    ----------
    applied : AppliedCatalogue
        Versions in force and held.
    settings : MeshSettings
        Number of links that get content unasked, and the limit on snapshots.
    rng : random.Random, optional
        Source of randomness.
    """

    def __init__(self, applied, settings, rng=random):
        self._applied = applied
        self._push_links = settings.push_links
        self._is_enabled = settings.distribution == "mesh"
        self._rng = rng
        self._fetch = VersionFetch(applied, rng)
        self._limit = SnapshotLimit(settings.snapshots_per_s)

    @property
    def version(self):
        """Latest version held."""
        return self._applied.latest.version if self._is_enabled else 0

    def open_link(self, link):
        """Tell a new neighbour which version is held here."""
        if self.version:
            link.offered_version = self.version
            link.send(mesh_pb2.Frame(have=mesh_pb2.Have(version=self.version)))

    def handle_have(self, version, link, links, now_ms):
        """Take in which version a neighbour holds, and ask for a later one.

        Parameters
        ----------
        version : int
            Latest version that the neighbour holds.
        link : Link
            The neighbour.
        links : iterable of Link
            Links to all neighbours.
        now_ms : float
            Present monotonic time in milliseconds.
        """
        link.version = max(link.version, version)
        if self._is_enabled:
            self._fetch.ask(links, now_ms)

    def ask(self, links, now_ms):
        """Ask for a later version if a neighbour holds one.

        Parameters
        ----------
        links : iterable of Link
            Links to all neighbours.
        now_ms : float
            Present monotonic time in milliseconds.
        """
        if self._is_enabled:
            self._fetch.ask(links, now_ms)

    def handle_fetch(self, version, link, now_ms):
        """Send the version held to a neighbour that lacks it, or say busy."""
        if self._applied.latest.version <= version:
            return
        deltas = self._applied.get_deltas_since(version) if version else []
        if deltas:
            self._send_deltas(link, deltas)
            return
        if self._is_too_large():
            self._send_busy(link, TOO_LARGE_WAIT_MS)
            return
        wait_ms = self._limit.admit(now_ms)
        if wait_ms:
            self._send_busy(link, wait_ms)
            return
        self._send_snapshots(link)

    def _is_too_large(self):
        """Return whether a neighbour must read the object store instead."""
        sizes = {
            held.version: len(held.data)
            for held in (self._applied.in_force, self._applied.latest)
        }
        return sum(sizes.values()) > MAX_CONTENT_BYTES

    def _send_busy(self, link, wait_ms):
        busy = mesh_pb2.Busy(wait_ms=int(wait_ms) + 1)
        link.send(mesh_pb2.Frame(busy=busy))

    def handle_busy(self, busy, link, links, now_ms):
        """Ask another neighbour, and this one after its wait."""
        wait_ms = busy.wait_ms * self._rng.uniform(1, 2)
        self._fetch.pass_over(link, wait_ms, now_ms)
        self._fetch.ask(links, now_ms)

    def handle_content(self, content, link, links, now_ms):
        """Take in a version; one that doesn't fit is asked for again or elsewhere."""
        link.version = max(link.version, content.version)
        was_asked = self._fetch.is_awaited_from(link)
        self._applied.note_accepted(content.version, content.accepted_ms)
        try:
            self._apply(content)
        except (CatalogueError, CodecError) as error:
            _LOG.warning("content refused", peer=link.peer_id, why=str(error))
            self._handle_mismatch(content, link, was_asked, now_ms)
        else:
            self._fetch.finish(link)
            if was_asked and self._applied.latest.version < content.version:
                self._fetch.pass_over(link, RETRY_USELESS_MS, now_ms)
        self._fetch.ask(links, now_ms)

    def _apply(self, content):
        now_ms = get_now_ms()
        for snapshot in content.snapshots:
            self._applied.apply_snapshot(
                snapshot.version, snapshot.digest, snapshot.data, now_ms
            )
        deltas = [decode(data, Delta) for data in content.deltas]
        self._applied.apply_deltas(deltas, now_ms)

    def _handle_mismatch(self, content, link, was_asked, now_ms):
        if content.snapshots:
            self._fetch.pass_over(link, RETRY_USELESS_MS, now_ms)
        elif was_asked and not self._starts_later(content):
            self._fetch.ask_whole(link, now_ms)

    def _starts_later(self, content):
        """Return whether deltas came unasked, ahead of the answer still to come."""
        try:
            first = decode(content.deltas[0], Delta)
        except CodecError:
            return False
        return first.from_version > self._applied.latest.version

    def spread(self, links):
        """Send the version held to a few neighbours that lack it, tell the others.

        Parameters
        ----------
        links : iterable of Link
            Links to all neighbours.
        """
        version = self.version
        behind = [
            link for link in links if max(link.version, link.offered_version) < version
        ]
        self._rng.shuffle(behind)
        pushed = 0
        for link in behind:
            deltas = self._applied.get_deltas_since(link.version)
            if deltas and pushed < self._push_links:
                self._send_deltas(link, deltas)
                pushed += 1
            else:
                self.open_link(link)

    def _send_deltas(self, link, deltas):
        content = self._make_content()
        content.deltas.extend(deltas)
        self._send_content(link, content)

    def _send_snapshots(self, link):
        content = self._make_content()
        content.snapshots.append(_make_snapshot(self._applied.latest))
        if 0 < self._applied.version < self._applied.latest.version:
            content.snapshots.insert(0, _make_snapshot(self._applied.in_force))
        self._send_content(link, content)

    def _make_content(self):
        version = self._applied.latest.version
        accepted_ms = self._applied.accepted_ms.get(version, 0)
        return mesh_pb2.Content(version=version, accepted_ms=accepted_ms)

    def _send_content(self, link, content):
        link.offered_version = content.version
        link.send(mesh_pb2.Frame(content=content))


def _make_snapshot(held):
    return mesh_pb2.Snapshot(version=held.version, digest=held.digest, data=held.data)
