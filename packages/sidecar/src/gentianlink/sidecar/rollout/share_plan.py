"""Plan of a roll-out: which share of the calls the new version gets, and when.

The share is a number of new targets that get as many calls as an old one each. The
first one is small and lasts until nearly half of the time has passed; then the share
grows in steps, each on evidence. Calls sent to the new version until the last but one
step stay below the share of the service's calls to which a bad version is limited.
"""

import math

import attrs

from gentianlink.core.rollout import RolloutPhase
from gentianlink.sidecar.rollout.version_verdict import Judgement

# Share of the calls in the trial, and the number of targets that get it at least: a
# fault of a single target must not look like one of the version.
TRIAL_SHARE = 0.05
TRIAL_TARGETS = 2
# Small deployments: the trial needs some calls a second, within this share.
MAX_TRIAL_SHARE = 0.2
# Part of the duration, and the share from then on.
STEPS = ((0.47, 0.25), (0.55, 0.5), (0.63, 1.0))
# Part of the duration from which the old targets are closed. Calls in flight at old
# targets need the rest.
CLOSE_PART = 0.7
# Part of the duration at which a version that could not be judged good is rolled back.
LAST_PART = 0.85
# Evidence that a step needs: part of the answers that the share should have brought
# since the last step, and at least so many answers in all.
EXPECTED_PART = 0.3
MIN_ANSWERS = 30
# Until this part of the duration a step also needs answers on each common rule, and
# a slight doubt postpones it.
COVERED_PART = 0.62
# Time without a verdict after which a step is taken on less evidence.
MIN_STEP_MS = 500.0
# Time with evidence in the trial before the share grows.
MIN_TRIAL_MS = 1200.0
# New targets take over when they have this part of the old ones' slots.
MIN_CAPACITY = 0.8
# From this part of the duration on they take over with fewer, but at least this part.
LATE_PART = 0.7
LATE_CAPACITY = 0.4
# Part of the duration from which cold targets are used like warm ones.
COLD_PART = 0.45


@attrs.frozen
class Situation:
    """What the plan depends on.

    Attributes
    ----------
    elapsed_ms : float
        Time since the order.
    step_ms : float
        Time since the last step.
    old_targets : int
        Known targets of other versions.
    ready_targets : int
        Targets of the new version that may get calls.
    ready_capacity : float
        Slots of these, as a part of those of the old ones.
    answers : int
        Answers of the new version since the last step.
    old_answers : int
        Answers of other versions in the same time.
    all_answers : int
        Answers of the new version since the order.
    judgement : Judgement
        What the evidence says.
    is_covered : bool
        Whether there are answers of the new version on each common rule.
    """

    elapsed_ms: float
    step_ms: float
    old_targets: int
    ready_targets: int
    ready_capacity: float
    answers: int
    old_answers: int
    all_answers: int
    judgement: Judgement
    is_covered: bool = True


def compute_trial_share(old_targets):
    """Return the share of the calls in the trial."""
    if not old_targets:
        return MAX_TRIAL_SHARE
    targets = max(TRIAL_TARGETS, math.ceil(TRIAL_SHARE * old_targets))
    return min(MAX_TRIAL_SHARE, targets / old_targets)


def count_active(share, old_targets):
    """Return the number of new targets among which a share of the calls is divided."""
    return max(1, round(share * old_targets)) if share > 0 else 0


def plan(state, situation):
    """Return the next state of a roll-out.

    Parameters
    ----------
    state : RolloutState
        Present state.
    situation : Situation
        What the plan depends on.

    Returns
    -------
    state : RolloutState
        The next state, or the present one.
    why : str
        Reason of the step, for the log; empty if there is none.
    """
    if state.phase is not RolloutPhase.RUNNING:
        return state, ""
    part = situation.elapsed_ms / state.duration_ms
    if situation.judgement is Judgement.BAD:
        return roll_back(state), "bad version"
    if part >= 1.0 or (part >= LAST_PART and not _is_enough(state, situation)):
        return roll_back(state), "not judged good in time"
    if state.share >= 1.0:
        if part >= CLOSE_PART and _is_enough(state, situation):
            return close(state), "all calls moved"
        return state, ""
    share = _compute_next_share(state, situation, part)
    if share <= state.share:
        return state, ""
    return attrs.evolve(state, step=state.step + 1, share=share), "share"


def _compute_next_share(state, situation, part):
    if not situation.ready_targets:
        return state.share
    if state.share == 0.0:
        return compute_trial_share(situation.old_targets)
    if not _is_enough(state, situation):
        return state.share
    next_shares = [
        share for begin, share in STEPS if part >= begin and share > state.share
    ]
    if not next_shares:
        return state.share
    # A roll-out that was held takes one step at the end.
    share = next_shares[-1 if part >= LATE_PART else 0]
    if part >= LATE_PART and situation.ready_capacity >= LATE_CAPACITY:
        return share
    if situation.ready_capacity >= MIN_CAPACITY * share:
        return share
    return state.share


def _is_enough(state, situation):
    """Return whether the evidence since the last step allows the next one."""
    is_early = situation.elapsed_ms < COVERED_PART * state.duration_ms
    allowed = {Judgement.GOOD} if is_early else {Judgement.GOOD, Judgement.DOUBTFUL}
    if state.share == 0.0 or situation.judgement not in allowed:
        return False
    if is_early and not situation.is_covered:
        return False
    # A service with few calls goes on with what there is when the time gets short.
    if is_early and state.share < 1.0 and situation.all_answers < MIN_ANSWERS:
        return False
    is_trial = state.share <= MAX_TRIAL_SHARE
    min_ms = MIN_TRIAL_MS if is_trial else MIN_STEP_MS
    if situation.step_ms < min_ms:
        return False
    if state.share >= 1.0:
        # The old version gets calls only if no new target is free.
        return situation.answers >= EXPECTED_PART * situation.old_answers
    expected = situation.old_answers * state.share / (1.0 - state.share)
    return situation.answers >= EXPECTED_PART * expected


def roll_back(state):
    """Return the state in which the version gets no more calls."""
    return attrs.evolve(
        state,
        step=max(state.step, ROLLED_BACK_STEP),
        share=0.0,
        phase=RolloutPhase.ROLLED_BACK,
    )


def close(state):
    """Return the state in which the old targets finish their calls."""
    return attrs.evolve(state, step=CLOSING_STEP, share=1.0, phase=RolloutPhase.CLOSING)


def finish(state):
    """Return the state in which the old targets may stop."""
    return attrs.evolve(state, step=DONE_STEP, share=1.0, phase=RolloutPhase.DONE)


# Steps of the last phases: on a merge of two sides of a partition a bad verdict
# outweighs any share, and what has been written as done outweighs all.
CLOSING_STEP = 1000
ROLLED_BACK_STEP = 2000
DONE_STEP = 3000
