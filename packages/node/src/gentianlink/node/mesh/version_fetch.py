"""Which neighbour was asked for a later version, and whom to ask next."""

import random

from gentianlink.node.mesh import mesh_pb2

FETCH_TIMEOUT_MS = 300
RETRY_SILENT_MS = 3000
WHOLE = 0


class VersionFetch:
    """At most one question at a time; a silent neighbour is passed over for a while.

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
        self._link = None
        self._deadline_ms = 0.0
        self._retry_ms = {}

    def ask(self, links, now_ms):
        """Ask a neighbour that holds a later version, unless an answer is awaited.

        Parameters
        ----------
        links : iterable of Link
            Links to all neighbours.
        now_ms : float
            Present monotonic time in milliseconds.
        """
        if self._link is not None:
            if now_ms < self._deadline_ms and not self._link.is_closed:
                return
            self.pass_over(self._link, RETRY_SILENT_MS, now_ms)
        candidates = [link for link in links if self._is_candidate(link, now_ms)]
        if candidates:
            link = self._rng.choice(candidates)
            self._send(link, self._applied.latest.version, now_ms)

    def ask_whole(self, link, now_ms):
        """Ask a neighbour for its version as a whole.

        Parameters
        ----------
        link : Link
            The neighbour.
        now_ms : float
            Present monotonic time in milliseconds.
        """
        self._send(link, WHOLE, now_ms)

    def is_awaited_from(self, link):
        """Return whether a neighbour owes an answer."""
        return self._link is link

    def finish(self, link):
        """Take in that a neighbour answered."""
        if self._link is link:
            self._link = None

    def pass_over(self, link, wait_ms, now_ms):
        """Ask a neighbour no more for a while.

        Parameters
        ----------
        link : Link
            The neighbour.
        wait_ms : float
            Time in milliseconds during which others are asked.
        now_ms : float
            Present monotonic time in milliseconds.
        """
        self._retry_ms[link.peer_id] = now_ms + wait_ms
        self.finish(link)

    def _is_candidate(self, link, now_ms):
        if link.is_closed or link.version <= self._applied.latest.version:
            return False
        retry_ms = self._retry_ms.get(link.peer_id)
        if retry_ms is None:
            return True
        if now_ms < retry_ms:
            return False
        del self._retry_ms[link.peer_id]
        return True

    def _send(self, link, version, now_ms):
        self._link = link
        self._deadline_ms = now_ms + FETCH_TIMEOUT_MS
        link.send(mesh_pb2.Frame(fetch=mesh_pb2.Fetch(version=version)))
