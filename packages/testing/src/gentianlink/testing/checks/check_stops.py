"""Checks of graceful stops of targets and nodes."""

from gentianlink.testing.checks.violation import Violation

CUT_OUTCOMES = ("", "unknown")


def check_no_new_work(executions, stops, bound_ms):
    """Return a violation for each execution begun on a target that was leaving.

    Parameters
    ----------
    executions : list of ExecutionRecord
        What the targets saw.
    stops : list of StopRecord
        Graceful stops of targets.
    bound_ms : int
        Time in milliseconds after which a leaving target gets no new work.

    Returns
    -------
    list of Violation
        Empty if leaving targets got no new work.
    """
    violations = []
    for stop in stops:
        for item in executions:
            late_ms = item.started_ms - stop.asked_ms - bound_ms
            if item.target_id == stop.name and 0 < late_ms and _is_before(item, stop):
                detail = f"new work {late_ms} ms after the bound"
                violations.append(Violation("no-new-work", stop.name, detail))
    return violations


def _is_before(item, stop):
    return not stop.ended_ms or item.started_ms <= stop.ended_ms


def check_no_cut(calls, executions, stops):
    """Return a violation for each call cut by a graceful stop.

    Parameters
    ----------
    calls : list of CallRecord
        What the callers saw.
    executions : list of ExecutionRecord
        What the targets saw.
    stops : list of StopRecord
        Graceful stops; nothing else failed during them.

    Returns
    -------
    list of Violation
        Empty if every call in flight during a stop got its whole answer.
    """
    started_on = {item.request_id: item.target_id for item in executions}
    violations = []
    for stop in stops:
        for call in calls:
            touches = stop.name in (call.node_id, started_on.get(call.request_id))
            overlaps = call.sent_ms <= stop.ended_ms and call.ended_ms >= stop.asked_ms
            if touches and overlaps and call.outcome in CUT_OUTCOMES:
                detail = (
                    f"call {call.request_id} ended with {call.outcome or 'nothing'}"
                )
                violations.append(Violation("no-cut", stop.name, detail))
    return violations
