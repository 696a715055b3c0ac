"""One version of the distributed catalogue."""

import attrs

from gentianlink.core.rule import Rule


@attrs.frozen
class RuleSet:
    """All rules of a version, indexed for lookup.

    Attributes
    ----------
    version : int
        Position in the order of versions.
    rules : dict of tuple of str to Rule
        Rules by host and path prefix.
    services : frozenset of str
        Names of the services.
    idle_timeout_ms : float
        Idle timeout in milliseconds of connections from callers.
    """

    version: int
    rules: dict[tuple[str, str], Rule]
    services: frozenset[str]
    idle_timeout_ms: float
