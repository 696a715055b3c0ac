"""Convergence of the fleet on a version."""

import attrs


@attrs.frozen
class FleetConvergence:
    """Number of nodes that enforce a version, and the names of the others.

    Attributes
    ----------
    version : int
        The version.
    nodes : int
        Live nodes.
    in_force : int
        Nodes that enforce the version or a later one.
    behind : tuple of str
        Names of nodes that don't; an admin port lists a bounded number of them.
    complete : bool
        Whether all live nodes enforce the version.
    """

    version: int
    nodes: int
    in_force: int
    behind: tuple[str, ...]
    complete: bool


def compute_convergence(reports, version):
    """Return the convergence on a version from the states of all nodes.

    Parameters
    ----------
    reports : sequence of NodeView
        State of every node.
    version : int
        The version.

    Returns
    -------
    FleetConvergence
        Counts and the names of the nodes behind.
    """
    behind = tuple(
        report.node.node_id for report in reports if report.version < version
    )
    in_force = len(reports) - len(behind)
    is_complete = not behind and bool(reports)
    return FleetConvergence(version, len(reports), in_force, behind, is_complete)
