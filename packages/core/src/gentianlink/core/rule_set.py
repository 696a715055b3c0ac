"""One version of the distributed catalogue."""

import attrs

from gentianlink.core.rule import Rule


@attrs.frozen
class RuleSet:
    """All rules of a version, ready for look-up.

    Attributes
    ----------
    version : int
        Place in the order of versions.
    rules : dict of tuple of str to Rule
        Rules by host and prefix.
    services : frozenset of str
        Names of the services.
    idle_timeout_ms : float
        Longest time in milliseconds that a caller's connection may stay idle.
    """

    version: int
    rules: dict[tuple[str, str], Rule]
    services: frozenset[str]
    idle_timeout_ms: float
