"""Checks of executions against submissions and answers."""

import collections

from gentianlink.testing.checks.violation import Violation

DONE = "done"
NOT_RUN = "not-run"


def check_at_most_once(executions, guarded_paths):
    """Return a violation for each key that was executed more than once.

    Parameters
    ----------
    executions : list of ExecutionRecord
        What the targets saw.
    guarded_paths : collection of str
        Paths of at-most-once entries.

    Returns
    -------
    list of Violation
        Empty if every key was executed at most once.
    """
    counts = collections.Counter(
        (item.path, item.key) for item in executions if item.path in guarded_paths
    )
    return [
        Violation("at-most-once", f"{path} {key}", f"executed {count} times")
        for (path, key), count in sorted(counts.items())
        if count > 1
    ]


def check_not_run(calls, executions):
    """Return a violation for each call told "not run" that a target executed.

    Parameters
    ----------
    calls : list of CallRecord
        What the callers saw.
    executions : list of ExecutionRecord
        What the targets saw.

    Returns
    -------
    list of Violation
        Empty if every such answer was true.
    """
    executed = {item.request_id for item in executions}
    return [
        Violation("not-run", call.request_id, "was executed")
        for call in calls
        if call.outcome == NOT_RUN and call.request_id in executed
    ]


def check_answers(calls, executions):
    """Return a violation for each answer that is not the call's own whole one.

    Parameters
    ----------
    calls : list of CallRecord
        What the callers saw.
    executions : list of ExecutionRecord
        What the targets saw.

    Returns
    -------
    list of Violation
        Empty if every answer told as done belongs to its call.
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
            detail = "told done but no target executed it"
            violations.append(Violation("own-answer", call.request_id, detail))
    return violations
