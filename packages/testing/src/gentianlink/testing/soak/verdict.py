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
        What was seen from outside.
    executions : list of ExecutionRecord
        What the targets saw.
    changes : list of Change
        The audit trail.
    deployment : Deployment
        The deployment.
    node_ids : list of str
        All nodes.

    Returns
    -------
    list of Violation
        Empty if all promises were kept.
    """
    guarded = [path for path, is_guarded in deployment.paths.items() if is_guarded]
    stops = observations.target_stops + observations.node_stops
    violations = [
        *check_at_most_once(executions, guarded),
        *check_not_run(observations.calls, executions),
        *check_answers(observations.calls, executions),
        *check_never_back(observations.versions),
        *check_whole_versions(observations.versions, changes),
        *check_no_new_work(executions, observations.target_stops, NO_NEW_WORK_BOUND_MS),
        *check_no_cut(observations.calls, executions, stops),
    ]
    for change in get_undisturbed(changes, observations.outages):
        violations += check_convergence(
            observations.versions, change, node_ids, CONVERGENCE_BOUND_MS
        )
    return violations


def get_undisturbed(changes, outages):
    """Return the changes during whose bound no fault was in force.

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
    """Return a violation for each change told as accepted that is not in the trail.

    Parameters
    ----------
    accepted : list of Change
        What operators were told.
    changes : list of Change
        The audit trail.

    Returns
    -------
    list of Violation
        Empty if every accepted change stayed.
    """
    return [
        Violation("in-force", change.change_id, f"version {change.version} is lost")
        for change in accepted
        if change not in changes
    ]
