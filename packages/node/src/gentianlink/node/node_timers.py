"""Times since which nodes are doubted, dead or gone."""

from gentianlink.core.node_state import NodeState
from gentianlink.ops.membership import LIVE_STATES

RECENTLY_DEAD_MS = 60_000
TOMBSTONE_MS = 24 * 3600 * 1000


class NodeTimers:
    """What the passing of time means for nodes that are not alive.

    Parameters
    ----------
    dead_after_ms : int
        Time in milliseconds that a doubted node has to refute.
    """

    def __init__(self, dead_after_ms):
        self._dead_after_ms = dead_after_ms
        self._doubted_ms = {}
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

    def note_state(self, known, record, now_ms):
        """Take in a new statement about a node.

        A doubt counts from when it was first heard; a later statement of the node
        itself ends it.

        Parameters
        ----------
        known : NodeRecord or None
            Statement that the new one replaces.
        record : NodeRecord
            The new statement.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        node_id = record.node_id
        if known is None or _get_statement(known) != _get_statement(record):
            self._doubted_ms.pop(node_id, None)
        self._tombstones.pop(node_id, None)
        self._recently_dead.pop(node_id, None)
        self._grace.discard(node_id)
        if record.state is not NodeState.ALIVE:
            self._doubted_ms.setdefault(node_id, now_ms)
        if record.state in LIVE_STATES:
            return
        self._tombstones[node_id] = now_ms
        if record.state is NodeState.DEAD:
            self._recently_dead[node_id] = now_ms
            if not self._is_doubt_over(node_id, now_ms):
                self._grace.add(node_id)

    def _is_doubt_over(self, node_id, now_ms):
        return now_ms >= self._doubted_ms[node_id] + self._dead_after_ms

    def get_unrefuted(self, now_ms):
        """Return the names of nodes whose time to refute is over.

        Parameters
        ----------
        now_ms : float
            Present time on the monotonic clock in milliseconds.

        Returns
        -------
        list of str
            Nodes that were not yet counted as dead.
        """
        return [
            node_id
            for node_id in self._doubted_ms
            if node_id not in self._tombstones and self._is_doubt_over(node_id, now_ms)
        ]

    def end_grace(self, now_ms):
        """Return the names of dead nodes whose endpoints are to be judged anew.

        Parameters
        ----------
        now_ms : float
            Present time on the monotonic clock in milliseconds.

        Returns
        -------
        list of str
            Nodes whose time to refute ended, or that are no longer recently dead.
        """
        ended = [item for item in self._grace if self._is_doubt_over(item, now_ms)]
        self._grace.difference_update(ended)
        for node_id, since_ms in list(self._recently_dead.items()):
            if now_ms >= since_ms + RECENTLY_DEAD_MS:
                del self._recently_dead[node_id]
                ended.append(node_id)
        return ended

    def get_old_tombstones(self, now_ms):
        """Return the names of dead and left nodes that are to be forgotten.

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

    def forget(self, node_id):
        """Forget a node."""
        self._doubted_ms.pop(node_id, None)
        self._tombstones.pop(node_id, None)

    def shift(self, gap_ms):
        """Give doubted and newly dead nodes more time.

        Parameters
        ----------
        gap_ms : float
            The time in milliseconds.
        """
        for times in (self._doubted_ms, self._recently_dead):
            for node_id in times:
                times[node_id] += gap_ms


def _get_statement(record):
    return record.incarnation, record.sequence
