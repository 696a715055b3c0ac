"""Checks of graceful stops of targets and nodes."""

from gentianlink.testing.checks.violation import Violation

INTERRUPTED_OUTCOMES = ("", "unknown")


def check_no_new_work(executions, stops, bound_ms):
    """Return a violation for each execution started on a draining target.

    Parameters
    ----------
    executions : list of ExecutionRecord
        Executions observed at the targets.
    stops : list of StopRecord
        Graceful stops of targets.
    bound_ms : int
        Time in milliseconds after the stop request from which the target gets no new
        work.

    Returns
    -------
    list of Violation
        Empty if no target got new work after the bound.
    """
    violations = []
    for stop in stops:
        for item in executions:
            late_ms = item.started_ms - stop.asked_ms - bound_ms
            if (
                item.target_id == stop.name
                and 0 < late_ms
                and _started_before_end(item, stop)
            ):
                detail = f"new work {late_ms} ms after the bound"
                violations.append(Violation("no-new-work", stop.name, detail))
    return violations


def _started_before_end(item, stop):
    return not stop.ended_ms or item.started_ms <= stop.ended_ms


def check_no_cut(calls, executions, stops):
    """Return a violation for each call interrupted by a graceful stop.

    Parameters
    ----------
    calls : list of CallRecord
        Calls as the callers observed them.
    executions : list of ExecutionRecord
        Executions observed at the targets.
    stops : list of StopRecord
        Graceful stops during which no other fault was injected.

    Returns
    -------
    list of Violation
        Empty if every call in flight during a stop got its complete answer.
    """
    started_on = {item.request_id: item.target_id for item in executions}
    violations = []
    for stop in stops:
        for call in calls:
            involves_process = stop.name in (
                call.node_id,
                started_on.get(call.request_id),
            )
            overlaps = call.sent_ms <= stop.ended_ms and call.ended_ms >= stop.asked_ms
            if involves_process and overlaps and call.outcome in INTERRUPTED_OUTCOMES:
                detail = (
                    f"call {call.request_id} ended with {call.outcome or 'nothing'}"
                )
                violations.append(Violation("no-cut", stop.name, detail))
    return violations
