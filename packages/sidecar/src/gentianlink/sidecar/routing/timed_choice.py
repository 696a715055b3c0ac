"""Choice of a target by the expected time at each, within and between data centres."""

import math
import random
import statistics

import attrs

from gentianlink.sidecar.admission.waiting_time import compute_allowed_wait_ms
from gentianlink.sidecar.routing.choose import (
    EVEN_RATIO,
    Choice,
    choose_free,
    choose_less_loaded,
)
from gentianlink.sidecar.routing.expected_time import CallObjective, compute_loss_ms
from gentianlink.sidecar.routing.leaving import (
    FAR_DELAY_MS,
    compute_free_chance,
    compute_gain_ms,
    compute_leave_share,
)

# A target that is slower than the fastest one by this factor is probably in a passing
# state. It gets calls so that its recovery shows.
ILL_RATIO = 3.0
# Share of the calls for each target whose time is unknown, and for each one that is
# ill; and the largest share for all of them together.
UNKNOWN_SHARE = 0.05
ILL_SHARE = 0.02
MAX_TRIAL_SHARE = 0.2
# A call that found this number of targets full takes any other that looks free: the
# fast ones are then probably all full.
MAX_FULL_FAST = 1
# Loss of other calls that a waiting call causes, as a multiple of its wait.
QUEUE_FACTOR = 3.0

OWN = "own"
NEAR = "near"
TRIAL = "trial"
WAIT = "wait"
FAR_FASTER = "faster"
FAR_FREE = "free"
FAR_ONLY = "only"


@attrs.frozen
class CallTerms:
    """What decides where a call goes, beside the candidates.

    Attributes
    ----------
    objective : CallObjective
        Rule and latency objective of the call.
    get_load : callable
        Takes the name of a data centre; returns the mean load of its targets.
    transfer_cost_ms : float
        Price of a transfer between data centres in milliseconds of the objective.
    draw : float
        Random number from 0 to 1, the same for all attempts of the call; it leaves its
        data centre if the number is below the share of calls that should.
    rng : random.Random
        Source of randomness.
    """

    objective: CallObjective
    get_load: object
    transfer_cost_ms: float
    draw: float
    rng: object = random


def choose_by_time(candidates, full, terms):
    """Return a target that looks free, preferring those with short times.

    Parameters
    ----------
    candidates : sequence of Candidate
        Targets that the call may be sent to.
    full : set of str
        Names of targets that refused this call because they had no free slot.
    terms : CallTerms
        Objective of the call.

    Returns
    -------
    candidate : Candidate or None
        None if no target looks free.
    why : str
        :data:`OWN`, :data:`NEAR` or :data:`TRIAL`.
    """
    times = _get_times(candidates, terms.objective.rule_name)
    if not times or max(times.values()) <= EVEN_RATIO * min(times.values()):
        return _explain(choose_free(candidates, full, terms.rng))
    free = [
        item for item in candidates if item.free >= 1 and item.target_id not in full
    ]
    if not free:
        return None, NEAR
    if not full:
        trial = _choose_trial(free, times, terms.rng)
        if trial is not None:
            return trial, TRIAL
    if len(full) < MAX_FULL_FAST:
        typical_ms = statistics.median(times.values())
        work_ms = [times.get(item.target_id, typical_ms) for item in free]
        limit_ms = EVEN_RATIO * min(work_ms)
        free = [item for item, ms in zip(free, work_ms, strict=True) if ms <= limit_ms]
    own = [item for item in free if item.is_own]
    return _explain(choose_less_loaded(own or free, terms.rng))


def choose_wait(candidates, full, terms):
    """Return the target where a call should wait, and the expected loss.

    Parameters
    ----------
    candidates : sequence of Candidate
        Targets that the call may be sent to.
    full : set of str
        Names of targets that refused this call because they had no free slot; their
        load reports are a few milliseconds old.
    terms : CallTerms
        Objective of the call.

    Returns
    -------
    candidate : Candidate or None
        Target with the shortest wait and work among those that refused the call, else
        among those with a recent load report.
    loss_ms : float
        Expected loss in milliseconds of the objective; all of it if the wait is longer
        than the gate allows. A multiple of the wait is added, as each call that waits
        delays those behind it.
    """
    objective = terms.objective
    if not candidates:
        return None, objective.whole_ms
    times = _get_times(candidates, objective.rule_name)
    typical_ms = statistics.median(times.values()) if times else 0.0
    fresh = [item for item in candidates if item.target_id in full]
    reported = fresh or [item for item in candidates if item.is_load_known]
    reported = reported or candidates
    best = min(
        reported,
        key=lambda item: item.wait_ms + times.get(item.target_id, typical_ms),
    )
    # Estimates fall with the age of their report, so the shortest of older ones is too
    # short.
    wait_ms = best.wait_ms if fresh else statistics.fmean(i.wait_ms for i in reported)
    work_ms = times.get(best.target_id, typical_ms)
    # The gate beside the target decides by the same rule; the deadline is left to it.
    longest_ms = compute_allowed_wait_ms(
        objective.left_ms, math.inf, objective.whole_ms, work_ms, True
    )
    if wait_ms > longest_ms:
        return best, objective.whole_ms
    loss_ms = compute_loss_ms(objective, work_ms, wait_ms)
    return best, loss_ms + QUEUE_FACTOR * wait_ms


def choose_away(far, full, near_loss_ms, why, terms):
    """Return the choice of a target elsewhere if it gains enough, else None.

    Parameters
    ----------
    far : sequence of Candidate
        Targets in other data centres.
    full : set of str
        Names of targets that refused this call because they had no free slot.
    near_loss_ms : float
        Expected loss of the call in its own data centre.
    why : str
        :data:`FAR_FASTER` if there is a free target nearby, else :data:`FAR_FREE`.
    terms : CallTerms
        Objective of the call, loads of data centres, price of a transfer.

    Returns
    -------
    Choice or None
        The target.
    """
    by_data_centre = {}
    for item in far:
        by_data_centre.setdefault(item.data_centre, []).append(item)
    best = None
    best_gain_ms = 0.0
    for data_centre, candidates in by_data_centre.items():
        chance = compute_free_chance(terms.get_load(data_centre), why == FAR_FASTER)
        # At a chance of one half or less nothing is gained, whatever the times are.
        if chance <= 0.5:
            continue
        candidate, _ = choose_by_time(candidates, full, terms)
        if candidate is None:
            continue
        loss_ms = _compute_free_loss_ms(candidate, terms, FAR_DELAY_MS)
        gain_ms = compute_gain_ms(near_loss_ms, loss_ms, chance)
        if gain_ms > best_gain_ms:
            best, best_gain_ms = candidate, gain_ms
    if terms.draw < compute_leave_share(best_gain_ms, terms.transfer_cost_ms):
        return Choice(best, False, why, near_loss_ms, best_gain_ms)
    return None


def choose_near(candidates, full, terms):
    """Return the choice among free targets nearby, and its expected loss.

    Parameters
    ----------
    candidates : sequence of Candidate
        Targets in this node's data centre.
    full : set of str
        Names of targets that refused this call because they had no free slot.
    terms : CallTerms
        Objective of the call.

    Returns
    -------
    choice : Choice or None
        None if no target looks free.
    loss_ms : float
        Expected loss in milliseconds of the objective.
    """
    candidate, why = choose_by_time(candidates, full, terms)
    if candidate is None:
        return None, terms.objective.whole_ms
    loss_ms = 0.0 if why == TRIAL else _compute_free_loss_ms(candidate, terms, 0.0)
    return Choice(candidate, False, why), loss_ms


def _compute_free_loss_ms(candidate, terms, delay_ms):
    work_ms = candidate.get_work_ms(terms.objective.rule_name)
    return compute_loss_ms(terms.objective, work_ms, delay_ms)


def _get_times(candidates, rule_name):
    times = {}
    for item in candidates:
        work_ms = item.get_work_ms(rule_name)
        if work_ms:
            times[item.target_id] = work_ms
    return times


def _choose_trial(free, times, rng):
    """Return a target whose time has to be measured, for a small share of the calls."""
    ill_ms = ILL_RATIO * min(times.values())
    unknown = [item for item in free if item.target_id not in times]
    ill = [item for item in free if times.get(item.target_id, 0.0) > ill_ms]
    unknown_share = UNKNOWN_SHARE * len(unknown)
    share = unknown_share + ILL_SHARE * len(ill)
    if not share:
        return None
    draw = rng.random() * max(1.0, share / MAX_TRIAL_SHARE)
    if draw >= share:
        return None
    return rng.choice(unknown if draw < unknown_share else ill)


def _explain(candidate):
    if candidate is not None and candidate.is_own:
        return candidate, OWN
    return candidate, NEAR
