"""The difference between two versions of the catalogue.

Most versions change a few rules among many, so nodes send each other only what differs.
"""

import attrs

from gentianlink.core.rule import Rule
from gentianlink.core.rule_set import RuleSet
from gentianlink.ops.compare_items import compare_items


@attrs.frozen
class RuleChange:
    """What turns one version into a later one.

    Attributes
    ----------
    base : int
        Version to which the change applies; 0 is the version without rules.
    version : int
        Version that results.
    rules : tuple of Rule
        Rules that are new or differ.
    dropped : tuple of tuple of str
        Host and prefix of each rule that is gone.
    services : tuple of str
        Names of all services of the result.
    idle_timeout_ms : float
        Longest time in milliseconds that a caller's connection may stay idle.
    """

    base: int
    version: int
    rules: tuple[Rule, ...]
    dropped: tuple[tuple[str, str], ...]
    services: tuple[str, ...]
    idle_timeout_ms: float


EMPTY_RULES = RuleSet(0, {}, frozenset(), 0.0)


def compute_change(before, after):
    """Return the change between two versions.

    Parameters
    ----------
    before, after : RuleSet
        The versions.

    Returns
    -------
    RuleChange
        Gives `after` when it is applied to `before`.
    """
    rules, dropped = compare_items(before.rules, after.rules)
    return RuleChange(
        base=before.version,
        version=after.version,
        rules=rules,
        dropped=dropped,
        services=tuple(sorted(after.services)),
        idle_timeout_ms=after.idle_timeout_ms,
    )


def apply_change(before, change):
    """Return the version that a change gives.

    Parameters
    ----------
    before : RuleSet
        Version to which the change applies.
    change : RuleChange
        The change.

    Returns
    -------
    RuleSet
        The later version. It shares the rules that are the same.
    """
    rules = dict(before.rules)
    for place in change.dropped:
        rules.pop(place, None)
    rules.update(((rule.host, rule.prefix), rule) for rule in change.rules)
    return RuleSet(
        version=change.version,
        rules=rules,
        services=frozenset(change.services),
        idle_timeout_ms=change.idle_timeout_ms,
    )


def share_rules(before, after):
    """Return a version with the rules of an earlier one where they are equal.

    Parameters
    ----------
    before, after : RuleSet
        The versions.

    Returns
    -------
    RuleSet
        `after`; rules that are equal in both exist once in memory.
    """
    return apply_change(before, compute_change(before, after))
