"""Who collects the reports of nodes, and what the reports say of a version."""

from gentianlink.core.convergence import Convergence, DataCentreConvergence
from gentianlink.ops.rank import get_ranked

RANK_KEY = "collectors"
MAX_NAMES = 64


def get_collectors(nodes, data_centre):
    """Return the nodes of a data centre in the order in which they collect.

    Parameters
    ----------
    nodes : list of NodeRecord
        Live nodes.
    data_centre : str
        The data centre.

    Returns
    -------
    list of NodeRecord
        The collector, then those that take its place when it fails.
    """
    members = {node.node_id: node for node in nodes if node.data_centre == data_centre}
    return [members[node_id] for node_id in get_ranked(RANK_KEY, members)]


def is_valid_report(report, node):
    """Return whether a report is of the present incarnation of a node."""
    return report is not None and report.incarnation == node.incarnation


def compute_data_centre(version, nodes, reports):
    """Return how far a version is in force in one data centre.

    Parameters
    ----------
    version : int
        The version.
    nodes : list of NodeRecord
        Live nodes of the data centre.
    reports : dict of str to NodeReport
        Latest reports by name of the node.

    Returns
    -------
    DataCentreConvergence
        A node whose present incarnation did not report is behind.
    """
    behind = []
    refused = {}
    for node in sorted(nodes, key=lambda node: node.node_id):
        report = reports.get(node.node_id)
        if is_valid_report(report, node) and report.version >= version:
            continue
        behind.append(node.node_id)
        if is_valid_report(report, node) and version in report.refused:
            refused[node.node_id] = report.refused[version]
    return DataCentreConvergence(
        nodes=len(nodes),
        in_force=len(nodes) - len(behind),
        behind=tuple(behind[:MAX_NAMES]),
        refused=dict(list(refused.items())[:MAX_NAMES]),
    )


def compute_unanswered(nodes):
    """Return the state of a data centre whose collectors did not answer.

    Parameters
    ----------
    nodes : list of NodeRecord
        Live nodes of the data centre.

    Returns
    -------
    DataCentreConvergence
        Every node counts as behind.
    """
    return compute_data_centre(0, nodes, {})


def compute_convergence(version, nodes, answers):
    """Return how far a version is in force over all live nodes.

    Parameters
    ----------
    version : int
        The version.
    nodes : list of NodeRecord
        Live nodes known here.
    answers : dict of str to DataCentreConvergence
        Answers of collectors by data centre; those that did not answer are missing.

    Returns
    -------
    Convergence
        The state; nodes that a collector does not know yet count as behind.
    """
    members = {}
    for node in nodes:
        members.setdefault(node.data_centre, []).append(node)
    data_centres = {}
    for name, own in sorted(members.items()):
        answer = answers.get(name) or compute_unanswered(own)
        missing = len(own) - answer.nodes
        if missing > 0:
            answer = DataCentreConvergence(
                len(own), answer.in_force, answer.behind, answer.refused
            )
        data_centres[name] = answer
    return Convergence(version, data_centres)


def format_convergence(convergence):
    """Return a state as the plain value that the admin port serves."""
    return {
        "version": convergence.version,
        "nodes": convergence.nodes,
        "in_force": convergence.in_force,
        "behind": list(convergence.behind),
        "complete": convergence.is_complete,
        "data_centres": {
            name: {"nodes": part.nodes, "in_force": part.in_force}
            for name, part in convergence.data_centres.items()
        },
    }
