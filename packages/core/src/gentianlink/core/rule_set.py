"""One version of the distributed catalogue."""

import attrs

from gentianlink.core.rule import Rule
from gentianlink.core.tenant import Tenant

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
    tenants : dict of str to Tenant, or None
        Tenants by name; None if calls need no API keys.
    tenant_by_key : dict of str to Tenant
        Tenants by API key, derived from `tenants`.
    """

    version: int
    rules: dict[tuple[str, str], Rule]
    services: frozenset[str]
    idle_timeout_ms: float
    max_body_bytes: int = UNLIMITED_BYTES
    unknown_kinds: tuple[str, ...] = ()
    tenants: dict[str, Tenant] | None = attrs.field(default=None, repr=False)
    tenant_by_key: dict[str, Tenant] = attrs.field(init=False, eq=False, repr=False)

    @tenant_by_key.default
    def _index_keys(self):
        tenants = (self.tenants or {}).values()
        return {key: tenant for tenant in tenants for key in tenant.keys}
