"""Timers of suspicions, deaths and tombstones of nodes."""

from gentianlink.core.node_state import NodeState
from gentianlink.ops.membership import LIVE_STATES

RECENTLY_DEAD_MS = 60_000
TOMBSTONE_MS = 24 * 3600 * 1000


class NodeTimers:
    """Times since which nodes are suspect, dead or left.

    Parameters
    ----------
    dead_after_ms : int
        Time in milliseconds that a suspect node has to refute.
    """

    def __init__(self, dead_after_ms):
        self._dead_after_ms = dead_after_ms
        self._suspected_ms = {}
        self._grace = set()
        self._recently_dead = {}
        self._tombstones = {}

    @property
    def grace(self):
        """Names of dead nodes that still have time to refute."""
        return self._grace

    @property
    def recently_dead(self):
        """Names of nodes that died a short time ago, with the times."""
        return self._recently_dead

    @property
    def tombstones(self):
        """Names of dead and left nodes, with the times."""
        return self._tombstones

    def note_state(self, former, record, now_ms):
        """Update the timers for a new record of a node.

        A suspicion counts from when this node first received it; a record with
        another incarnation or sequence comes from the node itself and ends it.

        Parameters
        ----------
        former : NodeRecord or None
            Record that the new one replaces.
        record : NodeRecord
            The new record.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        node_id = record.node_id
        if former is None or _get_revision(former) != _get_revision(record):
            self._suspected_ms.pop(node_id, None)
        self._tombstones.pop(node_id, None)
        self._recently_dead.pop(node_id, None)
        self._grace.discard(node_id)
        if record.state is not NodeState.ALIVE:
            self._suspected_ms.setdefault(node_id, now_ms)
        if record.state in LIVE_STATES:
            return
        self._tombstones[node_id] = now_ms
        if record.state is NodeState.DEAD:
            self._recently_dead[node_id] = now_ms
            if not self._is_suspicion_over(node_id, now_ms):
                self._grace.add(node_id)

    def _is_suspicion_over(self, node_id, now_ms):
        return now_ms >= self._suspected_ms[node_id] + self._dead_after_ms

    def get_unrefuted(self, now_ms):
        """Return the names of suspects whose time to refute is over.

        Parameters
        ----------
        now_ms : float
            Present time on the monotonic clock in milliseconds.

        Returns
        -------
        list of str
            Nodes that are not declared dead yet.
        """
        return [
            node_id
            for node_id in self._suspected_ms
            if node_id not in self._tombstones
            and self._is_suspicion_over(node_id, now_ms)
        ]

    def end_grace(self, now_ms):
        """Return the names of dead nodes whose endpoints are to be rebuilt.

        Parameters
        ----------
        now_ms : float
            Present time on the monotonic clock in milliseconds.

        Returns
        -------
        list of str
            Nodes whose time to refute ended, or that are no longer recently dead.
        """
        ended = [item for item in self._grace if self._is_suspicion_over(item, now_ms)]
        self._grace.difference_update(ended)
        for node_id, since_ms in list(self._recently_dead.items()):
            if now_ms >= since_ms + RECENTLY_DEAD_MS:
                del self._recently_dead[node_id]
                ended.append(node_id)
        return ended

    def get_old_tombstones(self, now_ms):
        """Return the names of dead and left nodes whose tombstones have expired.

        Parameters
        ----------
        now_ms : float
            Present time on the monotonic clock in milliseconds.

        Returns
        -------
        list of str
            The nodes.
        """
        return [
            node_id
            for node_id, since_ms in self._tombstones.items()
            if now_ms >= since_ms + TOMBSTONE_MS
        ]

    def remove(self, node_id):
        """Remove the timers of a node."""
        self._suspected_ms.pop(node_id, None)
        self._tombstones.pop(node_id, None)

    def shift(self, gap_ms):
        """Extend the timers of suspect and recently dead nodes.

        Parameters
        ----------
        gap_ms : float
            Extension in milliseconds.
        """
        for times in (self._suspected_ms, self._recently_dead):
            for node_id in times:
                times[node_id] += gap_ms


def _get_revision(record):
    return record.incarnation, record.sequence
