"""Weights of tenants at the targets."""

from gentianlink.sidecar.admission.fair_share import NO_FLOW, Flow


def make_get_flow(get_rules):
    """Return the function that gives the flow of a tenant's calls.

    The weight of a tenant is its rate, so that tenants that stay within their limits
    share a full target as the operator has divided the limits.

    Parameters
    ----------
    get_rules : callable
        Returns the rules in force, None before the first catalogue version.

    Returns
    -------
    callable
        Takes the name of a tenant, empty for none, and returns a Flow. A tenant without
        a limit, or unknown to this node's version, has the weight 1.
    """

    def get_flow(name):
        rules = get_rules()
        if not name or rules is None or rules.tenants is None:
            return NO_FLOW
        tenant = rules.tenants.get(name)
        is_limited = tenant is not None and tenant.is_limited
        return Flow(name, tenant.rate_per_s if is_limited else 1.0)

    return get_flow
