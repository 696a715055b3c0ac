"""One version of the distributed catalogue."""

import attrs

from gentianlink.core.rule import Rule

UNLIMITED_BYTES = 1 << 40


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
    max_body_bytes : int
        Largest body of a call in bytes.
    unknown_kinds : tuple of str
        Kinds of rules that this software does not know; their calls are executed at
        most once. Empty if the version came from another node.
    """

    version: int
    rules: dict[tuple[str, str], Rule]
    services: frozenset[str]
    idle_timeout_ms: float
    max_body_bytes: int = UNLIMITED_BYTES
    unknown_kinds: tuple[str, ...] = ()
