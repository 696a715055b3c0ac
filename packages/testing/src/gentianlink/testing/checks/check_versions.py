"""Checks of the versions in force on nodes against the audit trail."""

import itertools

from gentianlink.testing.checks.violation import Violation


def check_never_back(versions):
    """Return a violation for each change of a node back to an older version.

    Parameters
    ----------
    versions : list of VersionRecord
        Observations of ready nodes, across restarts.

    Returns
    -------
    list of Violation
        Empty if no node went back.
    """
    violations = []
    for node_id, records in _group_by_node(versions).items():
        for earlier, later in itertools.pairwise(records):
            if later.version < earlier.version:
                detail = f"{earlier.version} then {later.version}"
                violations.append(Violation("never-back", node_id, detail))
    return violations


def _group_by_node(versions):
    by_node = {}
    for record in sorted(versions, key=lambda item: item.observed_ms):
        by_node.setdefault(record.node_id, []).append(record)
    return by_node


def check_whole_versions(versions, changes):
    """Return a violation for each observed version or digest that was never accepted.

    Parameters
    ----------
    versions : list of VersionRecord
        Observations of nodes.
    changes : list of Change
        The audit trail.

    Returns
    -------
    list of Violation
        Empty if the version in force on every node was accepted with the same digest.
    """
    accepted = {change.version: change.digest for change in changes}
    violations = []
    for record in versions:
        if record.version and accepted.get(record.version) != record.digest:
            detail = f"version {record.version} with digest {record.digest[:12]}"
            violations.append(Violation("whole-version", record.node_id, detail))
    return violations


def check_convergence(versions, change, node_ids, bound_ms):
    """Return a violation for each node without a change in force within the bound.

    Parameters
    ----------
    versions : list of VersionRecord
        Observations of nodes.
    change : Change
        The accepted change.
    node_ids : collection of str
        Nodes that ran during the whole interval.
    bound_ms : int
        Time in milliseconds from the acceptance until the change must be in force.

    Returns
    -------
    list of Violation
        Empty if the change was in force on every node within the bound.
    """
    limit_ms = change.when_ms + bound_ms
    enforcing = {
        record.node_id
        for record in versions
        if record.version >= change.version and record.observed_ms <= limit_ms
    }
    return [
        Violation("in-force", node_id, f"version {change.version} not in force in time")
        for node_id in sorted(set(node_ids) - enforcing)
    ]
