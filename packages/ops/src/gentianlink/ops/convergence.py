"""Who collects the reports of nodes, and what the reports say of a version."""

import attrs

from gentianlink.core.convergence import DataCentreConvergence
from gentianlink.ops.rank import compute_score, get_ranked

MAX_NAMES = 64
SHARD_NODES = 64


def compute_shards(nodes):
    """Return the number of shards into which a data centre's nodes are divided.

    Parameters
    ----------
    nodes : int
        Live nodes of the data centre.

    Returns
    -------
    int
        Power of two, so that it changes seldom; each shard has a collector.
    """
    shards = 1
    while shards * SHARD_NODES < nodes:
        shards *= 2
    return shards


def get_shard(node_id, shards):
    """Return the number of the shard to which a node belongs."""
    return compute_score("shard", node_id) % shards


def rank_collectors(names, shard):
    """Return the names of nodes in the order in which they collect for a shard.

    Parameters
    ----------
    names : iterable of str
        Live nodes of the data centre.
    shard : int
        Number of the shard.

    Returns
    -------
    list of str
        The collector, then those that take its place when it fails.
    """
    return get_ranked(f"collectors {shard}", names)


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


def compute_part(nodes, answer):
    """Return the state of some nodes as far as their collector answered.

    Parameters
    ----------
    nodes : list of NodeRecord
        Live nodes known here.
    answer : DataCentreConvergence or None
        Answer of their collector.

    Returns
    -------
    DataCentreConvergence
        Nodes without an answer, or that the collector does not know, are behind.
    """
    if answer is None:
        return compute_data_centre(0, nodes, {})
    return attrs.evolve(answer, nodes=max(len(nodes), answer.nodes))


def merge_parts(parts):
    """Return the state of a data centre from the states of its shards."""
    behind = sorted(name for part in parts for name in part.behind)
    refused = {name: why for part in parts for name, why in part.refused.items()}
    return DataCentreConvergence(
        nodes=sum(part.nodes for part in parts),
        in_force=sum(part.in_force for part in parts),
        behind=tuple(behind[:MAX_NAMES]),
        refused=dict(sorted(refused.items())[:MAX_NAMES]),
    )


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
