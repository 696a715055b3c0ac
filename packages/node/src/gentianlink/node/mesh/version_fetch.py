"""Requests for a later catalogue version to one neighbour at a time."""

import random

from gentianlink.node.mesh import mesh_pb2

FETCH_TIMEOUT_MS = 300
SILENT_BACKOFF_MS = 3000
SNAPSHOT_REQUEST = 0


class VersionFetch:
    """Tracks the pending request, and the back-off from each neighbour.

    At most one request is pending. A neighbour that does not answer within
    ``FETCH_TIMEOUT_MS`` is not asked again for ``SILENT_BACKOFF_MS``.

    Parameters
    ----------
    applied : AppliedCatalogue
        Versions in force and held.
    rng : random.Random, optional
        Source of randomness.
    """

    def __init__(self, applied, rng=random):
        self._applied = applied
        self._rng = rng
        self._pending_link = None
        self._deadline_ms = 0.0
        self._retry_at_ms = {}

    def request_later_version(self, links, now_ms):
        """Send a request to a neighbour that holds a later version, if none is pending.

        Parameters
        ----------
        links : iterable of Link
            Links to all neighbours.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        if self._pending_link is not None:
            if now_ms < self._deadline_ms and not self._pending_link.is_closed:
                return
            self.back_off(self._pending_link, SILENT_BACKOFF_MS, now_ms)
        candidates = [link for link in links if self._is_candidate(link, now_ms)]
        if candidates:
            link = self._rng.choice(candidates)
            self._send(link, self._applied.latest.version, now_ms)

    def request_snapshot(self, link, now_ms):
        """Request a snapshot from a neighbour.

        Parameters
        ----------
        link : Link
            The neighbour.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        self._send(link, SNAPSHOT_REQUEST, now_ms)

    def is_pending_from(self, link):
        """Return whether the request to a neighbour is pending."""
        return self._pending_link is link

    def complete(self, link):
        """Mark the request to a neighbour as answered, if it is pending."""
        if self._pending_link is link:
            self._pending_link = None

    def back_off(self, link, wait_ms, now_ms):
        """Send a neighbour no further requests for some time.

        Parameters
        ----------
        link : Link
            The neighbour.
        wait_ms : float
            Back-off in milliseconds; requests go to other neighbours meanwhile.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        self._retry_at_ms[link.peer_id] = now_ms + wait_ms
        self.complete(link)

    def _is_candidate(self, link, now_ms):
        if link.is_closed or link.version <= self._applied.latest.version:
            return False
        retry_at_ms = self._retry_at_ms.get(link.peer_id)
        if retry_at_ms is None:
            return True
        if now_ms < retry_at_ms:
            return False
        del self._retry_at_ms[link.peer_id]
        return True

    def _send(self, link, version, now_ms):
        self._pending_link = link
        self._deadline_ms = now_ms + FETCH_TIMEOUT_MS
        link.send(mesh_pb2.Frame(fetch=mesh_pb2.Fetch(version=version)))
