"""Reports of the nodes of this data centre, while this node collects them."""

from gentianlink.ops.convergence import compute_data_centre, is_valid_report


class ReportCollector:
    """Latest report of each node, and when a version was in force on all of them.

    Parameters
    ----------
    membership : Membership
        Nodes whose reports count.
    """

    def __init__(self, membership):
        self._membership = membership
        self._reports = {}
        self._complete_version = 0
        self._complete_ms = 0

    @property
    def complete_version(self):
        """Latest version known to be in force on all nodes of the data centre."""
        return self._complete_version

    @property
    def complete_ms(self):
        """When that was known first, in milliseconds since the epoch."""
        return self._complete_ms

    def take(self, report, now_ms):
        """Take in a report; an older one of the same node changes nothing.

        Parameters
        ----------
        report : NodeReport
            The report.
        now_ms : int
            Present time in milliseconds since the epoch.
        """
        known = self._reports.get(report.node_id)
        if known is not None and _get_order(known) > _get_order(report):
            return
        if report.node_id not in self._membership.nodes:
            return
        self._reports[report.node_id] = report
        self._note_complete(report.version, now_ms)

    def _note_complete(self, version, now_ms):
        if version <= self._complete_version:
            return
        nodes = self._get_nodes()
        lowest = min(self._get_version(node) for node in nodes)
        if lowest > self._complete_version:
            self._complete_version = lowest
            self._complete_ms = now_ms

    def _get_version(self, node):
        report = self._reports.get(node.node_id)
        return report.version if is_valid_report(report, node) else 0

    def compute(self, version):
        """Return how far a version is in force in this data centre.

        Parameters
        ----------
        version : int
            The version.

        Returns
        -------
        DataCentreConvergence
            The state.
        """
        nodes = self._get_nodes()
        names = {node.node_id for node in nodes}
        self._reports = {
            name: report for name, report in self._reports.items() if name in names
        }
        return compute_data_centre(version, nodes, self._reports)

    def _get_nodes(self):
        own = self._membership.own_record
        return [
            node
            for node in self._membership.get_live_nodes()
            if node.data_centre == own.data_centre
        ]


def _get_order(report):
    return report.incarnation, report.version, len(report.refused)
