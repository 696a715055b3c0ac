"""Reservation of slots for more urgent calls.

A long, less urgent call that is given a free slot occupies the slot until its work is
done. If such calls could take every free slot, more urgent calls would always find all
slots occupied and wait, though the target has the capacity for all of them. So less
urgent calls may occupy only the slots that the demand of more urgent ones leaves.
"""

import math

# Time constant in milliseconds of the exponential decay of demand.
DECAY_MS = 3000.0
# Demand varies around its mean; this number of its standard deviations is reserved in
# addition to the mean.
HEADROOM_DEVIATIONS = 0.7
# Share of the slots that is never reserved. A kind that is served less than a quarter
# as often as the others counts as starved; long calls need about this share to stay
# above that limit.
MIN_SHARE = 0.3


class SlotReserve:
    """Demand for slots by rank, from the execution times of the accepted calls."""

    def __init__(self):
        self._demands = {}

    def record(self, rank, work_ms, now_ms):
        """Add an accepted call to the demand of its rank.

        Parameters
        ----------
        rank : tuple
            Urgency of the call; lower ranks are more urgent.
        work_ms : float
            Mean execution time in milliseconds of calls of its rule.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        demand, calls = self._get_demand(rank, now_ms)
        self._demands[rank] = demand + work_ms / DECAY_MS, calls + 1, now_ms

    def compute_limit(self, rank, work_ms, slots, now_ms):
        """Return how many slots the calls of a rank and of less urgent ranks may hold.

        Parameters
        ----------
        rank : tuple
            Urgency of the calls.
        work_ms : float
            Mean execution time of these calls in milliseconds.
        slots : int
            Number of slots of the target.
        now_ms : float
            Present time on the monotonic clock in milliseconds.

        Returns
        -------
        int
            At least 1 and :data:`MIN_SHARE` of the slots, so that no kind is starved;
            all slots for calls that take no longer than the more urgent ones, as such
            calls release their slot soon.
        """
        demand = 0.0
        calls = 0.0
        for other in self._demands:
            if other < rank:
                other_demand, other_calls = self._get_demand(other, now_ms)
                demand += other_demand
                calls += other_calls
        if not calls or work_ms <= demand * DECAY_MS / calls:
            return slots
        reserved = demand + HEADROOM_DEVIATIONS * math.sqrt(demand)
        return max(1, round(MIN_SHARE * slots), round(slots - reserved))

    def _get_demand(self, rank, now_ms):
        demand, calls, updated_ms = self._demands.get(rank, (0.0, 0.0, now_ms))
        decay = math.exp((updated_ms - now_ms) / DECAY_MS)
        return demand * decay, calls * decay
