"""Assign collectors of node reports and compute convergence from the reports."""

import attrs

from gentianlink.core.convergence import DataCentreConvergence
from gentianlink.ops.rank import compute_score, get_ranked

MAX_LISTED_NODES = 64
NODES_PER_SHARD = 64


def compute_shards(nodes):
    """Return the number of shards into which a data centre's nodes are divided.

    Parameters
    ----------
    nodes : int
        Live nodes of the data centre.

    Returns
    -------
    int
        A power of two, so that it seldom changes as nodes join and leave; each shard
        has one collector.
    """
    shards = 1
    while shards * NODES_PER_SHARD < nodes:
        shards *= 2
    return shards


def get_shard(node_id, shards):
    """Return the number of the shard to which a node belongs."""
    return compute_score("shard", node_id) % shards


def rank_collectors(names, shard):
    """Return the nodes in their order of succession as collector of a shard.

    Parameters
    ----------
    names : iterable of str
        Live nodes of the data centre.
    shard : int
        Number of the shard.

    Returns
    -------
    list of str
        The collector, followed by the nodes that replace it when it fails.
    """
    return get_ranked(f"collectors {shard}", names)


def is_current_report(report, node):
    """Return whether a report comes from the current incarnation of a node."""
    return report is not None and report.incarnation == node.incarnation


def compute_data_centre_convergence(version, nodes, reports):
    """Return the convergence of the nodes of one data centre on a version.

    Parameters
    ----------
    version : int
        The version.
    nodes : list of NodeRecord
        Live nodes of the data centre.
    reports : dict of str to NodeReport
        Latest report of each node, by its name.

    Returns
    -------
    DataCentreConvergence
        Nodes without a report from their current incarnation count as behind.
    """
    behind = []
    refused = {}
    for node in sorted(nodes, key=lambda node: node.node_id):
        report = reports.get(node.node_id)
        if is_current_report(report, node) and report.version >= version:
            continue
        behind.append(node.node_id)
        if is_current_report(report, node) and version in report.refused:
            refused[node.node_id] = report.refused[version]
    return DataCentreConvergence(
        nodes=len(nodes),
        in_force=len(nodes) - len(behind),
        behind=tuple(behind[:MAX_LISTED_NODES]),
        refused=dict(list(refused.items())[:MAX_LISTED_NODES]),
    )


def compute_shard_convergence(nodes, answer):
    """Return the convergence of one shard from the answer of its collector.

    Parameters
    ----------
    nodes : list of NodeRecord
        Live nodes of the shard in the membership view of this node.
    answer : DataCentreConvergence or None
        Answer of their collector.

    Returns
    -------
    DataCentreConvergence
        Nodes that the collector does not know are not counted as in force; without an
        answer, all nodes are behind.
    """
    if answer is None:
        return compute_data_centre_convergence(0, nodes, {})
    return attrs.evolve(answer, nodes=max(len(nodes), answer.nodes))


def merge_shard_convergences(parts):
    """Return the convergence of a data centre from that of its shards."""
    behind = sorted(name for part in parts for name in part.behind)
    refused = {name: why for part in parts for name, why in part.refused.items()}
    return DataCentreConvergence(
        nodes=sum(part.nodes for part in parts),
        in_force=sum(part.in_force for part in parts),
        behind=tuple(behind[:MAX_LISTED_NODES]),
        refused=dict(sorted(refused.items())[:MAX_LISTED_NODES]),
    )


def format_convergence(convergence):
    """Return a convergence as the plain data that the admin port serves."""
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
