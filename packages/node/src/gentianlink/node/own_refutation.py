"""When this node denies what others say of it."""

from gentianlink.ops.membership import compute_node_order, is_newer, refute

REFUTATION_PERIOD_MS = 200
RIVAL_PERIOD_MAX_MS = 10_000


class OwnRefutation:
    """The latest wrong statement about this node, and when the last one was denied.

    A process with the same name and a later incarnation is a rival: two of them would
    deny each other without end, so the wait between such denials doubles.
    """

    def __init__(self):
        self._heard = None
        self._refuted_ms = float("-inf")
        self._rival_period_ms = REFUTATION_PERIOD_MS

    def hear(self, own, record):
        """Take in a statement about this node that differs from its own.

        Parameters
        ----------
        own : NodeRecord
            Record of this node.
        record : NodeRecord
            What another node said.

        Returns
        -------
        bool
            True if the own record is the later one and answers the statement.
        """
        if refute(own, record) is own:
            return True
        if is_newer(self._heard, record, compute_node_order):
            self._heard = record
        return False

    def take_due(self, own, now_ms):
        """Return the record with which this node denies what it heard.

        Parameters
        ----------
        own : NodeRecord
            Record of this node.
        now_ms : float
            Present time on the monotonic clock in milliseconds.

        Returns
        -------
        NodeRecord or None
            None if there is nothing to deny yet.
        """
        heard = self._heard
        if heard is None:
            return None
        is_rival = heard.incarnation > own.incarnation
        period_ms = self._rival_period_ms if is_rival else REFUTATION_PERIOD_MS
        if now_ms < self._refuted_ms + period_ms:
            return None
        self._heard = None
        self._refuted_ms = now_ms
        if is_rival:
            doubled_ms = 2 * self._rival_period_ms
            self._rival_period_ms = min(RIVAL_PERIOD_MAX_MS, doubled_ms)
        return refute(own, heard)
