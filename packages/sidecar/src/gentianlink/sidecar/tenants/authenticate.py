"""Find the tenant of a call by its API key."""

from gentianlink.core.reason import Reason
from gentianlink.node.proxy.refusal import Refusal
from gentianlink.platform import wire


def authenticate(rules, rule, headers):
    """Find the tenant of a call, and replace its key by the tenant's name.

    Nothing is changed if the catalogue has no tenants.

    Parameters
    ----------
    rules : RuleSet
        Catalogue version in force.
    rule : Rule
        Rule of the call.
    headers : HTTPHeaders
        Headers of the call; changed in place.

    Returns
    -------
    tenant : Tenant or None
        The tenant; None if the call has no key and needs none.
    refusal : Refusal or None
        Why the call must not be run.
    """
    if rules.tenants is None:
        return None, None
    headers.pop(wire.TENANT, None)
    credentials = headers.pop(wire.AUTHORIZATION, None)
    if credentials is None and rule.is_public:
        return None, None
    scheme, _, key = (credentials or "").partition(" ")
    is_known_scheme = scheme.lower() == wire.KEY_SCHEME
    tenant = rules.tenant_by_key.get(key.strip()) if is_known_scheme else None
    if tenant is None:
        return None, Refusal(Reason.UNKNOWN_KEY)
    headers[wire.TENANT] = tenant.name
    return tenant, None
