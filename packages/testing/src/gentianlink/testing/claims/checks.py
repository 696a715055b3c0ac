"""Check at-most-once execution by what the target and the callers saw, and no more."""

from gentianlink.core.outcome import Outcome
from gentianlink.testing.claims.world import make_answer


def check_executions(world):
    """Return a message for each key that was executed twice."""
    keys = [submission.key for submission in world.executions]
    return [
        f"key {key} executed {keys.count(key)} times"
        for key in sorted(set(keys))
        if keys.count(key) > 1
    ]


def check_not_run(world):
    """Return a message for each call that was told not-run and was executed."""
    return [
        f"call {submission.number} was told not-run and was executed"
        for submission in world.submissions
        if submission.outcome is Outcome.NOT_RUN
        and (submission.executions_when_told or world.count_executions(submission))
    ]


def check_answers(world):
    """Return a message for each answer that is not the one to its own request."""
    return [
        f"call {submission.number} got {submission.answer!r}"
        for submission in world.submissions
        if submission.outcome is Outcome.DONE
        and submission.answer != make_answer(submission.key, submission.body)
    ]


def check_done(world):
    """Return a message for each call that was told done with nothing executed."""
    keys = {submission.key for submission in world.executions}
    return [
        f"call {submission.number} was told done and nothing was executed"
        for submission in world.submissions
        if submission.outcome is Outcome.DONE and submission.key not in keys
    ]


def check_repeat(world, repeat):
    """Return a message if the last repeat, with no fault any more, is told wrong.

    Parameters
    ----------
    world : ClaimWorld
        The world after its end.
    repeat : Submission
        Repeat that was sent when everything else had come to its end.

    Returns
    -------
    list of str
        Messages.
    """
    earlier = [item for item in world.submissions if item is not repeat]
    outcomes = {item.outcome for item in earlier}
    if outcomes == {Outcome.NOT_RUN} and repeat.outcome is not Outcome.DONE:
        return [f"all were told not-run and the repeat is {repeat.reason}"]
    is_certain = not world.dead and not world.is_target_uncertain
    if is_certain and repeat.outcome is not Outcome.DONE:
        return [f"no holder died and the repeat is {repeat.reason}"]
    if repeat.outcome is Outcome.NOT_RUN or repeat.outcome is None:
        return [f"the repeat was told {repeat.outcome}"]
    is_executed = any(item.key == repeat.key for item in world.executions)
    if repeat.outcome is Outcome.DONE and not is_executed:
        return ["the repeat was told done and nothing was executed"]
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
