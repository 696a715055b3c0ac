"""Run all checks over the observations of one deployment."""

from gentianlink.testing.checks.check_executions import (
    check_answers,
    check_at_most_once,
    check_not_run,
)
from gentianlink.testing.checks.check_stops import check_no_cut, check_no_new_work
from gentianlink.testing.checks.check_versions import (
    check_convergence,
    check_never_back,
    check_whole_versions,
)
from gentianlink.testing.checks.violation import Violation

CONVERGENCE_BOUND_MS = 4000
NO_NEW_WORK_BOUND_MS = 3000


def get_violations(observations, executions, changes, deployment, node_ids):
    """Return every broken promise.

    Parameters
    ----------
    observations : Observations
        Observations from outside the nodes.
    executions : list of ExecutionRecord
        Executions observed at the targets.
    changes : list of Change
        The audit trail.
    deployment : Deployment
        The deployment.
    node_ids : list of str
        Names of all nodes.

    Returns
    -------
    list of Violation
        Empty if all promises were kept.
    """
    at_most_once_paths = [
        path for path, is_at_most_once in deployment.paths.items() if is_at_most_once
    ]
    stops = observations.target_stops + observations.node_stops
    violations = [
        *check_at_most_once(executions, at_most_once_paths),
        *check_not_run(observations.calls, executions),
        *check_answers(observations.calls, executions),
        *check_never_back(observations.versions),
        *check_whole_versions(observations.versions, changes),
        *check_no_new_work(executions, observations.target_stops, NO_NEW_WORK_BOUND_MS),
        *check_no_cut(observations.calls, executions, stops),
    ]
    for change in get_undisturbed_changes(changes, observations.outages):
        violations += check_convergence(
            observations.versions, change, node_ids, CONVERGENCE_BOUND_MS
        )
    return violations


def get_undisturbed_changes(changes, outages):
    """Return the changes without a fault before their convergence bound.

    Parameters
    ----------
    changes : list of Change
        The audit trail.
    outages : list of tuple of int
        Starts and ends of faults in milliseconds since the epoch.

    Returns
    -------
    list of Change
        Changes to which the bound on convergence applies.
    """
    return [
        change
        for change in changes
        if not any(
            start_ms <= change.when_ms + CONVERGENCE_BOUND_MS
            and change.when_ms <= end_ms
            for start_ms, end_ms in outages
        )
    ]


def check_accepted(accepted, changes):
    """Return a violation for each confirmed change that is not in the audit trail.

    Parameters
    ----------
    accepted : list of Change
        Changes whose acceptance was confirmed to an operator.
    changes : list of Change
        The audit trail.

    Returns
    -------
    list of Violation
        Empty if the audit trail has every confirmed change.
    """
    return [
        Violation("in-force", change.change_id, f"version {change.version} is lost")
        for change in accepted
        if change not in changes
    ]
