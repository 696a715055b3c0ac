"""Delta between two versions of the catalogue.

Nodes send each other deltas, because most versions change only a few of many rules.
"""

import attrs

from gentianlink.core.rule import Rule
from gentianlink.core.rule_set import UNLIMITED_BYTES, RuleSet
from gentianlink.core.tenant import Tenant
from gentianlink.ops.compare_items import compare_items


@attrs.frozen
class RuleDelta:
    """Delta from one version of the catalogue to a later one.

    Attributes
    ----------
    base : int
        Version to which the delta applies; 0 is the empty version.
    version : int
        Version that results from applying it.
    rules : tuple of Rule
        Rules that were added or changed.
    dropped : tuple of tuple of str
        Host and prefix of each removed rule.
    services : tuple of str
        Names of all services in the resulting version.
    idle_timeout_ms : float
        Idle timeout of callers' connections in milliseconds.
    max_body_bytes : int
        Largest body of a call in bytes.
    tenants : tuple of Tenant, or None
        Tenants that were added or changed; None if the resulting version has none.
    dropped_tenants : tuple of str
        Names of the removed tenants.
    """

    base: int
    version: int
    rules: tuple[Rule, ...]
    dropped: tuple[tuple[str, str], ...]
    services: tuple[str, ...]
    idle_timeout_ms: float
    max_body_bytes: int = UNLIMITED_BYTES
    tenants: tuple[Tenant, ...] | None = None
    dropped_tenants: tuple[str, ...] = ()


EMPTY_RULES = RuleSet(0, {}, frozenset(), 0.0)


def compute_delta(before, after):
    """Return the delta between two versions.

    Parameters
    ----------
    before, after : RuleSet
        The versions.

    Returns
    -------
    RuleDelta
        Delta that yields `after` when applied to `before`.
    """
    rules, dropped = compare_items(before.rules, after.rules)
    tenants, dropped_tenants = None, ()
    if after.tenants is not None:
        tenants, dropped_tenants = compare_items(before.tenants or {}, after.tenants)
    return RuleDelta(
        base=before.version,
        version=after.version,
        rules=rules,
        dropped=dropped,
        services=tuple(sorted(after.services)),
        idle_timeout_ms=after.idle_timeout_ms,
        max_body_bytes=after.max_body_bytes,
        tenants=tenants,
        dropped_tenants=dropped_tenants,
    )


def apply_delta(before, delta):
    """Return the version that results from applying a delta.

    Parameters
    ----------
    before : RuleSet
        Version to which the delta applies.
    delta : RuleDelta
        The delta.

    Returns
    -------
    RuleSet
        The later version; unchanged rules are the same objects as in `before`.
    """
    rules = dict(before.rules)
    for key in delta.dropped:
        rules.pop(key, None)
    rules.update(((rule.host, rule.prefix), rule) for rule in delta.rules)
    tenants = None
    if delta.tenants is not None:
        tenants = dict(before.tenants or {})
        for name in delta.dropped_tenants:
            tenants.pop(name, None)
        tenants.update((tenant.name, tenant) for tenant in delta.tenants)
    return RuleSet(
        version=delta.version,
        rules=rules,
        services=frozenset(delta.services),
        idle_timeout_ms=delta.idle_timeout_ms,
        max_body_bytes=delta.max_body_bytes,
        tenants=tenants,
    )


def share_rules(before, after):
    """Return a version that reuses the equal rule objects of an earlier one.

    Parameters
    ----------
    before, after : RuleSet
        The versions.

    Returns
    -------
    RuleSet
        Equal to `after`; rules that are equal in both versions exist only once in
        memory.
    """
    return apply_delta(before, compute_delta(before, after))
