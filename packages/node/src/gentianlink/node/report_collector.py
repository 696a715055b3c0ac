"""Collects the reports of the nodes of this data centre."""

from gentianlink.ops.convergence import (
    compute_data_centre_convergence,
    get_shard,
    is_current_report,
)

MAX_SHARDS = 1024


class ReportCollector:
    """Latest report of each node, and when a version was in force on all of a shard.

    Parameters
    ----------
    view : LiveView
        Nodes whose reports count.
    """

    def __init__(self, view):
        self._view = view
        self._reports = {}
        self._complete = {}

    @property
    def complete_version(self):
        """Latest version in force on all nodes of any shard, by the reports."""
        return max((version for version, _ in self._complete.values()), default=0)

    @property
    def complete_ms(self):
        """Time of the report that completed the last such shard, ms since the epoch."""
        latest = self.complete_version
        return max(
            (at_ms for version, at_ms in self._complete.values() if version == latest),
            default=0,
        )

    def add_report(self, report, now_ms):
        """Store a report, unless a later one of the same node is stored.

        Parameters
        ----------
        report : NodeReport
            The report.
        now_ms : int
            Present time in milliseconds since the epoch.
        """
        former = self._reports.get(report.node_id)
        if former is not None and _get_order(former) > _get_order(report):
            return
        names = self._view.get_names(self._view.own_data_centre)
        if report.node_id not in names:
            return
        self._reports[report.node_id] = report
        if len(self._reports) > len(names):
            self._drop_other_reports(names)
        self._update_complete(report, now_ms)

    def _drop_other_reports(self, names):
        for name in self._reports.keys() - set(names):
            del self._reports[name]

    def _update_complete(self, report, now_ms):
        shards = self._view.get_shards(self._view.own_data_centre)
        shard = get_shard(report.node_id, len(shards))
        key = len(shards), shard
        former, _ = self._complete.get(key, (0, 0))
        if report.version <= former:
            return
        lowest = min(self._get_version(name) for name in shards[shard])
        if lowest > former:
            self._complete = {
                other: value
                for other, value in self._complete.items()
                if other[0] == len(shards)
            }
            self._complete[key] = (lowest, now_ms)

    def _get_version(self, name):
        report = self._reports.get(name)
        if not is_current_report(report, self._view.get_node(name)):
            return 0
        return report.version

    def compute(self, version, shard=0, shards=1):
        """Return on which nodes of a shard of this data centre a version is in force.

        Parameters
        ----------
        version : int
            The version.
        shard : int, optional
            Number of the shard.
        shards : int, optional
            Number of shards into which the requesting node divides the nodes.

        Returns
        -------
        DataCentreConvergence
            The state.
        """
        data_centre = self._view.own_data_centre
        parts = self._view.get_shards_of(data_centre, min(max(shards, 1), MAX_SHARDS))
        names = parts[shard] if shard < len(parts) else ()
        nodes = [self._view.get_node(name) for name in names]
        return compute_data_centre_convergence(version, nodes, self._reports)


def _get_order(report):
    return report.incarnation, report.version, len(report.refused)
