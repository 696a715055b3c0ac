"""A call in the queue of a gate."""

import asyncio

import attrs

from gentianlink.sidecar.admission.fair_share import NO_FLOW, Flow


@attrs.define(eq=False)
class WaitingCall:
    """A call that waits for a slot.

    Attributes
    ----------
    result : asyncio.Future
        Result of the wait: None if the call was given a slot, else a Refusal.
    rank : tuple
        Urgency of the call; lower ranks go first.
    latest_ms : float
        Time on the monotonic clock in milliseconds at which the call stops waiting.
    work_ms : float
        Mean execution time in milliseconds of calls of its rule, 0 if unknown.
    flow : Flow
        Tenant of the call.
    start_ms : float
        Virtual start among the tenants of its rank; 0 for a call without a tenant.
    """

    result: asyncio.Future
    rank: tuple[int, float]
    latest_ms: float
    work_ms: float
    flow: Flow = NO_FLOW
    start_ms: float = 0.0

    @property
    def order(self):
        """Sort key in the queue; calls with a lower key go first."""
        return self.rank, self.start_ms, self.latest_ms
