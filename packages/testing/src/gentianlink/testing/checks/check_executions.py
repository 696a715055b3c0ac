"""Checks of executions against submissions and answers."""

import collections

from gentianlink.testing.checks.violation import Violation

DONE = "done"
NOT_RUN = "not-run"


def check_at_most_once(executions, at_most_once_paths):
    """Return a violation for each key that was executed more than once.

    Parameters
    ----------
    executions : list of ExecutionRecord
        Executions observed at the targets.
    at_most_once_paths : collection of str
        Paths of at-most-once entries.

    Returns
    -------
    list of Violation
        Empty if every key was executed at most once.
    """
    counts = collections.Counter(
        (item.path, item.key) for item in executions if item.path in at_most_once_paths
    )
    return [
        Violation("at-most-once", f"{path} {key}", f"executed {count} times")
        for (path, key), count in sorted(counts.items())
        if count > 1
    ]


def check_not_run(calls, executions):
    """Return a violation for each executed call that was answered as not run.

    Parameters
    ----------
    calls : list of CallRecord
        Calls as the callers observed them.
    executions : list of ExecutionRecord
        Executions observed at the targets.

    Returns
    -------
    list of Violation
        Empty if no call with the outcome "not-run" was executed.
    """
    executed = {item.request_id for item in executions}
    return [
        Violation("not-run", call.request_id, "was executed")
        for call in calls
        if call.outcome == NOT_RUN and call.request_id in executed
    ]


def check_answers(calls, executions):
    """Return a violation for each answer that is partial or of another call.

    Parameters
    ----------
    calls : list of CallRecord
        Calls as the callers observed them.
    executions : list of ExecutionRecord
        Executions observed at the targets.

    Returns
    -------
    list of Violation
        Empty if every answer with the outcome "done" belongs to its call.
    """
    key_by_request = {item.request_id: item.key for item in executions}
    violations = []
    for call in calls:
        if call.outcome != DONE:
            continue
        if call.replayed:
            if not call.key or key_by_request.get(call.echo) != call.key:
                detail = f"replayed the answer of {call.echo or 'no call'}"
                violations.append(Violation("own-answer", call.request_id, detail))
        elif call.echo != call.request_id:
            detail = f"got the answer of {call.echo or 'no call'}"
            violations.append(Violation("own-answer", call.request_id, detail))
        elif call.request_id not in key_by_request:
            detail = "answered done but no target executed it"
            violations.append(Violation("own-answer", call.request_id, detail))
    return violations
