"""How far a version has spread."""

import attrs


@attrs.frozen
class FleetConvergence:
    """How many nodes enforce a version.

    Attributes
    ----------
    version : int
        The version.
    nodes : int
        Live nodes.
    in_force : int
        Nodes that enforce it or a later one.
    behind : tuple of str
        Names of those that don't.
    complete : bool
        Whether all do.
    """

    version: int
    nodes: int
    in_force: int
    behind: tuple[str, ...]
    complete: bool


def compute_convergence(reports, version):
    """Return how far a version has spread over the nodes that were asked.

    Parameters
    ----------
    reports : sequence of NodeView
        What every node says.
    version : int
        The version.

    Returns
    -------
    FleetConvergence
        Counts and the names of those behind.
    """
    behind = tuple(
        report.node.node_id for report in reports if report.version < version
    )
    in_force = len(reports) - len(behind)
    is_complete = not behind and bool(reports)
    return FleetConvergence(version, len(reports), in_force, behind, is_complete)
