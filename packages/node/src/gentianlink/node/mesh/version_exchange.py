"""Distribution of catalogue versions over links.

A node pushes deltas of a new version to a few neighbours and announces the version to
the others (``have``). A node that learns of a later version requests it from one
neighbour (``fetch``), which answers with deltas or snapshots (``content``) or asks to
retry later (``busy``).
"""

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

USELESS_CONTENT_BACKOFF_MS = 10_000
# gRPC refuses messages of more than 4 MiB by default.
MAX_CONTENT_BYTES = 3 << 20
TOO_LARGE_WAIT_MS = 60_000


class VersionExchange:
    """Sends and handles the frames with catalogue versions.

    Parameters
    ----------
    applied : AppliedCatalogue
        Versions in force and held.
    settings : MeshSettings
        Number of links to push deltas on, and the limit on snapshots.
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
        """Announce the version held here to a neighbour, if there is one."""
        if self.version:
            link.offered_version = self.version
            link.send(mesh_pb2.Frame(have=mesh_pb2.Have(version=self.version)))

    def handle_have(self, version, link, links, now_ms):
        """Record the version that a neighbour holds, and request a later one.

        Parameters
        ----------
        version : int
            Latest version that the neighbour holds.
        link : Link
            The neighbour.
        links : iterable of Link
            Links to all neighbours.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        link.version = max(link.version, version)
        if self._is_enabled:
            self._fetch.request_later_version(links, now_ms)

    def request_later_version(self, links, now_ms):
        """Request a later version if a neighbour holds one.

        Parameters
        ----------
        links : iterable of Link
            Links to all neighbours.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        if self._is_enabled:
            self._fetch.request_later_version(links, now_ms)

    def handle_fetch(self, version, link, now_ms):
        """Send the version held to a neighbour that lacks it, or a busy frame."""
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
        """Return whether the snapshots are too large to send.

        The neighbour then has to read them from the object store.
        """
        sizes = {
            held.version: len(held.data)
            for held in (self._applied.in_force, self._applied.latest)
        }
        return sum(sizes.values()) > MAX_CONTENT_BYTES

    def _send_busy(self, link, wait_ms):
        busy = mesh_pb2.Busy(wait_ms=int(wait_ms) + 1)
        link.send(mesh_pb2.Frame(busy=busy))

    def handle_busy(self, busy, link, links, now_ms):
        """Request the version from another neighbour, and back off from this one."""
        wait_ms = busy.wait_ms * self._rng.uniform(1, 2)
        self._fetch.back_off(link, wait_ms, now_ms)
        self._fetch.request_later_version(links, now_ms)

    def handle_content(self, content, link, links, now_ms):
        """Apply the content of a later version.

        Deltas that do not apply are requested again as a snapshot; after an invalid
        snapshot the version is requested from another neighbour.
        """
        link.version = max(link.version, content.version)
        was_requested = self._fetch.is_pending_from(link)
        self._applied.note_accepted(content.version, content.accepted_ms)
        try:
            self._apply(content)
        except (CatalogueError, CodecError) as error:
            _LOG.warning("content refused", peer=link.peer_id, why=str(error))
            self._handle_mismatch(content, link, was_requested, now_ms)
        else:
            self._fetch.complete(link)
            if was_requested and self._applied.latest.version < content.version:
                self._fetch.back_off(link, USELESS_CONTENT_BACKOFF_MS, now_ms)
        self._fetch.request_later_version(links, now_ms)

    def _apply(self, content):
        now_ms = get_now_ms()
        for snapshot in content.snapshots:
            self._applied.apply_snapshot(
                snapshot.version, snapshot.digest, snapshot.data, now_ms
            )
        deltas = [decode(data, Delta) for data in content.deltas]
        self._applied.apply_deltas(deltas, now_ms)

    def _handle_mismatch(self, content, link, was_requested, now_ms):
        if content.snapshots:
            self._fetch.back_off(link, USELESS_CONTENT_BACKOFF_MS, now_ms)
        elif was_requested and not self._is_ahead_of_answer(content):
            self._fetch.request_snapshot(link, now_ms)

    def _is_ahead_of_answer(self, content):
        """Return whether the deltas are a push that overtook the pending answer."""
        try:
            first = decode(content.deltas[0], Delta)
        except CodecError:
            return False
        return first.from_version > self._applied.latest.version

    def spread(self, links):
        """Push the version held to a few neighbours that lack it, notify the others.

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
