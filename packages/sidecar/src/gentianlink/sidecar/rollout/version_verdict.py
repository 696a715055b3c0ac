"""Verdict on a new version, from its evidence and that of the old one.

The versions are compared by rule over the same seconds. A version is bad only if it
fails or is slow on more targets than one, so that a fault of a single target does not
convict it, and if few old targets show the same. See docs/design/ROLLOUTS.md for the
chance of a wrong verdict.
"""

import collections
import enum
import math

import attrs

from gentianlink.sidecar.rollout.evidence_counter import RuleCounts

# Lowest failure rate that the new version is tested against: some failures of a good
# version are chance, for example lookups of its targets that were refused.
MIN_BASE_RATE = 0.03
# The old version's rate is raised by these, for its estimate is uncertain and rates
# differ from target to target.
BASE_FACTOR = 1.25
BASE_MARGIN = 0.01
# Chance of as many failures by a good version below which it is bad, and below which
# growth waits, at first for a slight doubt and later for a suspicion. Each roll-out has
# some 20 evaluations of two windows and five rules.
BAD_CHANCE = 1e-5
SUSPECT_CHANCE = 1e-3
DOUBT_CHANCE = 1e-2
# Failures without which a version is neither bad nor doubtful.
MIN_FAILURES = 4
MIN_DOUBT_FAILURES = 2
# A version that needs this many times as long is bad; load and place of a target
# explain a factor of two.
SLOW_RATIO = 2.5
DOUBT_RATIO = 1.8
MIN_TIMES = 8
SLOW_DEVIATIONS = 6.0
DOUBT_DEVIATIONS = 4.0
# Standard deviation of the logarithms of times that is assumed at least.
MIN_DEVIATION = 0.3
# Chance that as many targets as are bad would all be bad if they were old ones.
SAME_CHANCE = 0.03
# Share of the new version's failure rate, and of its slowness, with which a target
# counts as bad.
TARGET_SHARE = 0.5
MIN_TARGET_CALLS = 3
ALL_RULES = ""
# Share of the old version's answers from which on a rule is a common one, and answers
# of the new version that each of these needs.
COMMON_SHARE = 0.05
MIN_RULE_ANSWERS = 3


class Judgement(enum.Enum):
    """What the evidence says about a version."""

    GOOD = "good"
    DOUBTFUL = "doubtful"
    SUSPECT = "suspect"
    BAD = "bad"


@attrs.frozen
class Verdict:
    """Judgement with its reason, for the log.

    Attributes
    ----------
    judgement : Judgement
        The judgement.
    rule_name : str
        Rule on which it is based, empty for all rules together.
    why : str
        ``failures``, ``slow``, or empty.
    new : float
        Failure rate, or factor of the times against the old version.
    old : float
        Failure rate of the old version, or 1.
    """

    judgement: Judgement = Judgement.GOOD
    rule_name: str = ALL_RULES
    why: str = ""
    new: float = 0.0
    old: float = 0.0


def judge(evidence, version):
    """Return the verdict on a version.

    Parameters
    ----------
    evidence : list of TargetEvidence
        Evidence on the targets of all versions over the same time.
    version : str
        The new version.

    Returns
    -------
    Verdict
        The worst verdict over all rules.
    """
    new = [item for item in evidence if item.version == version]
    old = [item for item in evidence if item.version != version]
    rule_names = {name for item in new for name in item.counts}
    worst = Verdict()
    for rule_name in sorted(rule_names | {ALL_RULES}):
        new_counts = _list_counts(new, rule_name)
        old_counts = _list_counts(old, rule_name)
        for test in (_test_failures, _test_times):
            # Times of different rules are not comparable.
            if rule_name == ALL_RULES and test is _test_times:
                continue
            verdict = test(rule_name, new_counts, old_counts)
            if _is_worse(verdict, worst):
                worst = verdict
    return worst


def count_answers(evidence, version):
    """Return the number of answers of a version, and of all others."""
    counts = [0, 0]
    for item in evidence:
        answers = sum(rule.answers for rule in item.counts.values())
        counts[item.version != version] += answers
    return tuple(counts)


def is_covered(evidence, version):
    """Return whether the new version has answers on each common rule.

    Parameters
    ----------
    evidence : list of TargetEvidence
        Evidence on the targets of all versions over the same time.
    version : str
        The new version.
    """
    answers = collections.Counter()
    new_answers = collections.Counter()
    for item in evidence:
        for rule_name, counts in item.counts.items():
            group = new_answers if item.version == version else answers
            group[rule_name] += counts.answers
    total = answers.total()
    return all(
        new_answers[rule_name] >= MIN_RULE_ANSWERS
        for rule_name, count in answers.items()
        if count >= COMMON_SHARE * total
    )


def _is_worse(verdict, other):
    order = list(Judgement)
    return order.index(verdict.judgement) > order.index(other.judgement)


def _list_counts(evidence, rule_name):
    if rule_name != ALL_RULES:
        return [item.counts[rule_name] for item in evidence if rule_name in item.counts]
    return [_sum(item.counts.values()) for item in evidence]


def _sum(counts):
    total = RuleCounts()
    for item in counts:
        total.add(item)
    return total


def _test_failures(rule_name, new_counts, old_counts):
    new, old = _sum(new_counts), _sum(old_counts)
    if new.failures < MIN_DOUBT_FAILURES:
        return Verdict()
    # The estimate for few old answers leans towards the lowest rate.
    old_rate = (old.failures + 20 * MIN_BASE_RATE) / (old.answers + 20)
    base = min(0.95, max(MIN_BASE_RATE, BASE_FACTOR * old_rate + BASE_MARGIN))
    rate = new.failures / new.answers
    chance = compute_tail(new.answers, new.failures, base)
    if chance > DOUBT_CHANCE:
        return Verdict()

    def is_bad(counts):
        return (
            counts.answers >= MIN_TARGET_CALLS
            and counts.failures >= TARGET_SHARE * rate * counts.answers
        )

    is_certain = (
        chance < BAD_CHANCE
        and new.failures >= MIN_FAILURES
        and _is_of_version(new_counts, old_counts, is_bad)
    )
    is_suspect = chance < SUSPECT_CHANCE and new.failures >= MIN_FAILURES
    judgement = Judgement.SUSPECT if is_suspect else Judgement.DOUBTFUL
    judgement = Judgement.BAD if is_certain else judgement
    return Verdict(judgement, rule_name, "failures", rate, old_rate)


def _test_times(rule_name, new_counts, old_counts):
    new, old = _sum(new_counts), _sum(old_counts)
    if min(new.times, old.times) < MIN_TIMES:
        return Verdict()
    difference = new.log_sum / new.times - old.log_sum / old.times
    if difference < math.log(DOUBT_RATIO):
        return Verdict()
    error = math.sqrt(_compute_variance(new) + _compute_variance(old))
    deviations = difference / error
    if deviations < DOUBT_DEVIATIONS:
        return Verdict()
    bound = old.log_sum / old.times + TARGET_SHARE * difference

    def is_bad(counts):
        return counts.times > 0 and counts.log_sum / counts.times >= bound

    is_certain = (
        difference >= math.log(SLOW_RATIO)
        and deviations >= SLOW_DEVIATIONS
        and _is_of_version(new_counts, old_counts, is_bad)
    )
    judgement = Judgement.BAD if is_certain else Judgement.SUSPECT
    return Verdict(judgement, rule_name, "slow", math.exp(difference), 1.0)


def _compute_variance(counts):
    """Return the variance of the mean of the logarithms of times."""
    mean = counts.log_sum / counts.times
    variance = counts.log_squares / counts.times - mean * mean
    return max(MIN_DEVIATION**2, variance) / counts.times


def _is_of_version(new_counts, old_counts, is_bad):
    """Return whether a fault is one of the version, not of single targets.

    Most new targets have to show it, more than one if there are several, and so few
    old ones that the same fault would hardly hit all these new ones by chance.
    """
    known = [item for item in new_counts if item.answers or item.times]
    bad = sum(map(is_bad, known))
    if bad < min(2, len(known)) or bad < len(known) / 2:
        return False
    bad_old = sum(map(is_bad, old_counts))
    share = (bad_old + 1) / (len(old_counts) + 2)
    return share**bad <= SAME_CHANCE or (len(known) == 1 and bad_old == 0)


def compute_tail(trials, hits, rate):
    """Return the chance of at least so many hits in independent trials.

    Parameters
    ----------
    trials : int
        Number of trials.
    hits : int
        Number of hits.
    rate : float
        Chance of a hit in one trial, above 0 and below 1.

    Returns
    -------
    float
        The chance.
    """
    if hits <= trials * rate:
        return 1.0
    log_term = (
        math.lgamma(trials + 1)
        - math.lgamma(hits + 1)
        - math.lgamma(trials - hits + 1)
        + hits * math.log(rate)
        + (trials - hits) * math.log1p(-rate)
    )
    term = total = math.exp(log_term)
    for count in range(hits, trials):
        term *= (trials - count) / (count + 1) * rate / (1 - rate)
        total += term
        if term < 1e-3 * total:
            break
    return min(1.0, total)
