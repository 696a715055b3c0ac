"""How busy the targets of all nodes look from this node."""

import attrs

from gentianlink.sidecar.target_load import TargetLoad

# A report counts for less and less until this age in milliseconds.
REPORT_LIFETIME_MS = 1500


@attrs.define
class _NodeLoad:
    outstanding: int = 0
    reported: TargetLoad = attrs.field(factory=TargetLoad)
    reported_ms: float = -REPORT_LIFETIME_MS
    outstanding_at_report: int = 0


class LoadView:
    """Own outstanding calls, and what nodes said of the load of their targets."""

    def __init__(self):
        self._loads = {}

    def begin(self, node_id):
        """Count a call that is sent to a node's target."""
        self._get(node_id).outstanding += 1

    def end(self, node_id):
        """Count a call that is over."""
        self._get(node_id).outstanding -= 1

    def report(self, node_id, load, now_ms):
        """Take in the load that a node stated.

        Parameters
        ----------
        node_id : str
            Name of the node.
        load : TargetLoad
            Load of its target.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        known = self._get(node_id)
        known.reported = load
        known.reported_ms = now_ms
        known.outstanding_at_report = known.outstanding

    def is_known(self, node_id, now_ms):
        """Return whether a node has told the load of its target lately."""
        return now_ms - self._get(node_id).reported_ms < REPORT_LIFETIME_MS

    def get_load(self, node_id, now_ms):
        """Return the load of a node's target as it should be now.

        Parameters
        ----------
        node_id : str
            Name of the node.
        now_ms : float
            Present time on the monotonic clock in milliseconds.

        Returns
        -------
        TargetLoad
            The last report, aged, with the change of own calls since then.
        """
        known = self._get(node_id)
        age = (now_ms - known.reported_ms) / REPORT_LIFETIME_MS
        share = min(1.0, max(0.0, 1.0 - age))
        since = known.outstanding - known.outstanding_at_report
        in_flight = known.reported.in_flight * share + since
        return TargetLoad(
            max(0, known.outstanding, round(in_flight)),
            round(known.reported.waiting * share),
            known.reported.wait_ms * share,
        )

    def _get(self, node_id):
        load = self._loads.get(node_id)
        if load is None:
            load = self._loads[node_id] = _NodeLoad()
        return load
