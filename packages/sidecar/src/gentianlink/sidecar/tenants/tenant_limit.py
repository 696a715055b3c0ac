"""Limit of a tenant over a window, with what is tolerated beyond it."""

import attrs

# Share of the tolerance that owners lease. The rest covers nodes that learn late of a
# partition, and calls that start later than they took their tokens.
LEASED_TOLERANCE = 0.5
# Share of the tolerance that a new owner may lease although the window may be full.
CAREFUL_TOLERANCE = 0.25


@attrs.frozen
class TenantLimit:
    """Calls that a tenant may make in any window.

    Attributes
    ----------
    calls : float
        Limit without tolerance.
    tolerance : float
        Tolerated excess over the limit.
    rate_per_s : float
        Calls a second.
    burst : float
        Calls that may come at once in addition to those of the rate.
    """

    calls: float
    tolerance: float
    rate_per_s: float = float("inf")
    burst: float = float("inf")

    @property
    def capacity(self):
        """Tokens that owners may lease in a window."""
        return self.calls + LEASED_TOLERANCE * self.tolerance

    @property
    def burst_depth(self):
        """Tokens that owners may lease at once."""
        return self.burst + LEASED_TOLERANCE * self.tolerance

    @property
    def careful_allowance(self):
        """Tokens that an owner that knows nothing of the past may lease at once."""
        return CAREFUL_TOLERANCE * self.tolerance


def compute_limit(tenant, bounds):
    """Return the limit of a tenant.

    Parameters
    ----------
    tenant : Tenant
        The tenant.
    bounds : Bounds
        Bounds of the deployment.

    Returns
    -------
    TenantLimit
        The limit for a window of `quota_window_ms`.
    """
    calls = tenant.rate_per_s * bounds.quota_window_ms / 1000 + tenant.burst
    tolerance = bounds.quota_overage * calls + bounds.quota_slack
    return TenantLimit(calls, tolerance, tenant.rate_per_s, tenant.burst)
