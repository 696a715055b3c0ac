"""Fair queueing: the order in which calls of different tenants go to a full target.

Self-clocked fair queueing (Golestani, INFOCOM 1994): each call is given a virtual start
time, which is the end of the previous call of its tenant or the present virtual time,
whichever is later. A call advances its tenant by its work divided by the tenant's
weight, so of the tenants with calls in the queue each gets slots by its weight, and the
calls of a tenant that sends more than its part come last.
"""

import attrs

# A tenant may be ahead of its part by this number of its calls before they are ordered
# behind those of others: a small tenant's calls come at random, often two at a time.
BURST_CALLS = 2
# Ends of tenants that are in the past are dropped when there are more than this.
MAX_TENANTS = 1024
# Work of a call in milliseconds while none has been measured.
DEFAULT_WORK_MS = 100.0


@attrs.frozen
class Flow:
    """Calls that share the slots of a target with others by weight.

    Attributes
    ----------
    tenant : str
        Name of the tenant, empty for calls without one.
    weight : float
        Weight of the tenant, above 0.
    """

    tenant: str = ""
    weight: float = 1.0


NO_FLOW = Flow()


class FairShare:
    """Virtual time of the calls of one rank at one target."""

    def __init__(self):
        self._virtual_ms = 0.0
        self._ends_ms = {}

    def compute_start_ms(self, flow, work_ms):
        """Return the virtual start of a call that arrives now.

        Parameters
        ----------
        flow : Flow
            Tenant of the call and its weight.
        work_ms : float
            Expected execution time in milliseconds, 0 if unknown.

        Returns
        -------
        float
            Virtual time in milliseconds of work per unit of weight; calls with lower
            values go first. 0 for a call without a tenant.
        """
        if not flow.tenant:
            return 0.0
        end_ms = self._ends_ms.get(flow.tenant, self._virtual_ms)
        allowance_ms = BURST_CALLS * (work_ms or DEFAULT_WORK_MS) / flow.weight
        return max(self._virtual_ms, end_ms - allowance_ms)

    def record(self, flow, work_ms):
        """Record a call that was accepted, also one that waits.

        Parameters
        ----------
        flow : Flow
            Tenant of the call and its weight.
        work_ms : float
            Expected execution time in milliseconds, 0 if unknown.
        """
        if not flow.tenant:
            return
        end_ms = max(self._virtual_ms, self._ends_ms.get(flow.tenant, 0.0))
        cost_ms = (work_ms or DEFAULT_WORK_MS) / flow.weight
        self._ends_ms[flow.tenant] = end_ms + cost_ms
        if len(self._ends_ms) > MAX_TENANTS:
            self._drop_past()

    def cancel(self, flow, work_ms):
        """Take back a recorded call that was not executed."""
        if flow.tenant in self._ends_ms:
            self._ends_ms[flow.tenant] -= (work_ms or DEFAULT_WORK_MS) / flow.weight

    def advance(self, start_ms):
        """Advance the virtual time to the start of a call that was given a slot."""
        self._virtual_ms = max(self._virtual_ms, start_ms)

    def _drop_past(self):
        self._ends_ms = {
            tenant: end_ms
            for tenant, end_ms in self._ends_ms.items()
            if end_ms > self._virtual_ms
        }
