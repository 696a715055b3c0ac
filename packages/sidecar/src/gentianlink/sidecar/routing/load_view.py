"""Estimates by this node of the load of the targets of all nodes."""

import attrs

from gentianlink.sidecar.target_load import TargetLoad

# The weight of a load report falls linearly to 0 at this age in milliseconds.
REPORT_LIFETIME_MS = 1500


@attrs.define
class _NodeLoad:
    outstanding: int = 0
    reported: TargetLoad = attrs.field(factory=TargetLoad)
    reported_ms: float = -REPORT_LIFETIME_MS
    outstanding_at_report: int = 0


class LoadView:
    """Calls outstanding from this node, and the latest load report of each node."""

    def __init__(self):
        self._loads = {}

    def begin(self, node_id):
        """Count a call that is sent to a node's target."""
        self._get(node_id).outstanding += 1

    def end(self, node_id):
        """Count a call to a node's target that has ended."""
        self._get(node_id).outstanding -= 1

    def report(self, node_id, load, now_ms):
        """Record a load report of a node.

        Parameters
        ----------
        node_id : str
            Name of the node.
        load : TargetLoad
            Load of the target beside that node.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        node_load = self._get(node_id)
        node_load.reported = load
        node_load.reported_ms = now_ms
        node_load.outstanding_at_report = node_load.outstanding

    def has_recent_report(self, node_id, now_ms):
        """Return whether a node has reported the load of its target recently."""
        return now_ms - self._get(node_id).reported_ms < REPORT_LIFETIME_MS

    def get_load(self, node_id, now_ms):
        """Return the estimated present load of a node's target.

        Parameters
        ----------
        node_id : str
            Name of the node.
        now_ms : float
            Present time on the monotonic clock in milliseconds.

        Returns
        -------
        TargetLoad
            The last report, weighted by its age, with the change since then in the
            number of calls outstanding from this node.
        """
        return TargetLoad(*self.estimate(node_id, now_ms)[:3])

    def estimate(self, node_id, now_ms):
        """Return the load of :meth:`get_load` as plain values.

        It is called for every candidate of a choice, where an object costs more than
        the estimate.

        Parameters
        ----------
        node_id : str
            Name of the node.
        now_ms : float
            Present time on the monotonic clock in milliseconds.

        Returns
        -------
        in_flight, waiting : int
            Numbers of calls.
        wait_ms : float
            Wait for a slot.
        is_known : bool
            Whether the node has reported its load recently.
        """
        node_load = self._loads.get(node_id)
        if node_load is None:
            return 0, 0, 0.0, False
        age_ms = now_ms - node_load.reported_ms
        outstanding = node_load.outstanding
        if age_ms >= REPORT_LIFETIME_MS:
            own_change = outstanding - node_load.outstanding_at_report
            return max(0, outstanding, own_change), 0, 0.0, False
        weight = min(1.0, 1.0 - age_ms / REPORT_LIFETIME_MS)
        reported = node_load.reported
        own_change = outstanding - node_load.outstanding_at_report
        in_flight = round(reported.in_flight * weight + own_change)
        return (
            max(0, outstanding, in_flight),
            round(reported.waiting * weight),
            reported.wait_ms * weight,
            True,
        )

    def _get(self, node_id):
        load = self._loads.get(node_id)
        if load is None:
            load = self._loads[node_id] = _NodeLoad()
        return load
