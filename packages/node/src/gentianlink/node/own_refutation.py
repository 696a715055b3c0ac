"""Rate-limited refutation of wrong records about this node."""

from gentianlink.ops.membership import compute_node_order, is_newer, refute

REFUTATION_PERIOD_MS = 200
RIVAL_PERIOD_MAX_MS = 10_000


class OwnRefutation:
    """The latest wrong record about this node, and the time of the last refutation.

    Two running processes with the same name (rivals) would refute each other without
    end, so the period between refutations of a later incarnation doubles each time, up
    to ``RIVAL_PERIOD_MAX_MS``.
    """

    def __init__(self):
        self._wrong_record = None
        self._refuted_ms = float("-inf")
        self._rival_period_ms = REFUTATION_PERIOD_MS

    def add(self, own, record):
        """Store a received record of this node that differs from its own.

        Parameters
        ----------
        own : NodeRecord
            Record of this node.
        record : NodeRecord
            Received record.

        Returns
        -------
        bool
            True if this node's record is the later one and refutes the received one.
        """
        if refute(own, record) is own:
            return True
        if is_newer(self._wrong_record, record, compute_node_order):
            self._wrong_record = record
        return False

    def take_due(self, own, now_ms):
        """Return the record that refutes the stored one, if it may be sent by now.

        Parameters
        ----------
        own : NodeRecord
            Record of this node.
        now_ms : float
            Present time on the monotonic clock in milliseconds.

        Returns
        -------
        NodeRecord or None
            None if there is nothing to refute yet.
        """
        wrong_record = self._wrong_record
        if wrong_record is None:
            return None
        is_rival = wrong_record.incarnation > own.incarnation
        period_ms = self._rival_period_ms if is_rival else REFUTATION_PERIOD_MS
        if now_ms < self._refuted_ms + period_ms:
            return None
        self._wrong_record = None
        self._refuted_ms = now_ms
        if is_rival:
            doubled_ms = 2 * self._rival_period_ms
            self._rival_period_ms = min(RIVAL_PERIOD_MAX_MS, doubled_ms)
        return refute(own, wrong_record)
