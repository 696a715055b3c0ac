"""Check at-most-once execution by the observations of the target and the callers."""

from gentianlink.core.outcome import Outcome
from gentianlink.testing.claims.world import make_answer


def check_executions(world):
    """Return a message for each key that was executed more than once."""
    keys = [submission.key for submission in world.executions]
    return [
        f"key {key} executed {keys.count(key)} times"
        for key in sorted(set(keys))
        if keys.count(key) > 1
    ]


def check_not_run(world):
    """Return a message for each executed call that was answered as not run."""
    return [
        f"call {submission.number} was answered not-run and was executed"
        for submission in world.submissions
        if submission.outcome is Outcome.NOT_RUN
        and (submission.executions_when_answered or world.count_executions(submission))
    ]


def check_answers(world):
    """Return a message for each answer that belongs to another request."""
    return [
        f"call {submission.number} got {submission.answer!r}"
        for submission in world.submissions
        if submission.outcome is Outcome.DONE
        and submission.answer != make_answer(submission.key, submission.body)
    ]


def check_done(world):
    """Return a message for each call answered as done whose key was not executed."""
    keys = {submission.key for submission in world.executions}
    return [
        f"call {submission.number} was answered done and nothing was executed"
        for submission in world.submissions
        if submission.outcome is Outcome.DONE and submission.key not in keys
    ]


def check_repeat(world, repeat):
    """Return a message if the last repeat, sent without faults, got a wrong outcome.

    Parameters
    ----------
    world : ClaimWorld
        The simulation after its end.
    repeat : Submission
        Repeat that was sent after all other calls had ended.

    Returns
    -------
    list of str
        At most one message; empty if the outcome is allowed.
    """
    earlier = [item for item in world.submissions if item is not repeat]
    outcomes = {item.outcome for item in earlier}
    if outcomes == {Outcome.NOT_RUN} and repeat.outcome is not Outcome.DONE:
        return [f"all were answered not-run and the repeat is {repeat.reason}"]
    is_certain = not world.dead and not world.is_target_outcome_unknown
    if is_certain and repeat.outcome is not Outcome.DONE:
        return [f"no holder died and the repeat is {repeat.reason}"]
    if repeat.outcome is Outcome.NOT_RUN or repeat.outcome is None:
        return [f"the repeat was answered {repeat.outcome}"]
    is_executed = any(item.key == repeat.key for item in world.executions)
    if repeat.outcome is Outcome.DONE and not is_executed:
        return ["the repeat was answered done and nothing was executed"]
    return []


def check_all(world, repeat):
    """Return the messages of every check."""
    return [
        *check_executions(world),
        *check_not_run(world),
        *check_answers(world),
        *check_done(world),
        *check_repeat(world, repeat),
    ]
