"""Tokens of one tenant that a node holds, and what it asks the owner for.

It has no clock and no network; the present time is an argument.
"""

import collections
import math

import attrs

from gentianlink.sidecar.tenants.quota_owner import LEASE_MS, SHORT_LEASE_MS

# Time constant of the estimate of recent demand.
DEMAND_MS = 500.0
# A node whose recent demand is at least this many calls within the lifetime of a lease
# asks for the calls of the next quarter of a second in advance. With less demand,
# batches cost as many datagrams as single tokens.
MIN_CALLS_PER_LEASE = 3.0
AHEAD_MS = 250.0
# A refusal holds for this time at most, as owner, limit and share may change.
MAX_REMEMBER_MS = 1000.0
# An owner that is short of tokens is not asked in advance again within this time.
PAUSE_MS = 100.0


@attrs.define
class _Lease:
    number: int
    owner: str
    asked_ms: float
    until_ms: float
    left: int
    spent_ms: float


@attrs.frozen
class EndedLease:
    """Lease that has ended before its time or with unspent tokens.

    Attributes
    ----------
    number : int
        Number of the request that got it.
    owner : str
        Node that leased it.
    unspent : int
        Tokens that were not spent.
    age_ms : float
        Time in milliseconds from the request to the last spent token.
    """

    number: int
    owner: str
    unspent: int
    age_ms: float


class HeldTokens:
    """Tokens of one tenant at one node.

    Parameters
    ----------
    tenant : Tenant
        The tenant.
    """

    def __init__(self, tenant):
        self._tenant = tenant
        self._leases = collections.deque()
        self._ended = []
        self._demand = 0.0
        self._demand_ms = 0.0
        self._refused_until_ms = 0.0
        self._ask_again_ms = 0.0
        self._pause_until_ms = 0.0
        self._answered_ms = 0.0

    @property
    def tenant(self):
        """The tenant, as of the catalogue version by which it was last used."""
        return self._tenant

    @property
    def answered_ms(self):
        """Time of the owner's last answer."""
        return self._answered_ms

    def update_tenant(self, tenant):
        """Scale the held tokens down if a version lowers the limit."""
        before = self._tenant
        self._tenant = tenant
        if (before.rate_per_s, before.burst) == (tenant.rate_per_s, tenant.burst):
            return
        self._refused_until_ms = 0.0
        ratio = min(1.0, tenant.rate_per_s / before.rate_per_s)
        for lease in self._leases:
            lease.left = math.floor(lease.left * ratio)

    def note_call(self, now_ms):
        """Count a call in the recent demand."""
        self._demand = self._compute_demand(now_ms) + 1.0
        self._demand_ms = now_ms

    def _compute_demand(self, now_ms):
        return self._demand * math.exp((self._demand_ms - now_ms) / DEMAND_MS)

    def compute_refusal_ms(self, now_ms):
        """Return the time until the tenant has tokens again; 0 if it may have some."""
        if now_ms >= self._ask_again_ms:
            return 0.0
        return max(0.0, self._refused_until_ms - now_ms)

    def count(self, now_ms):
        """Return the number of tokens that may still be spent."""
        self._end_leases(now_ms)
        return sum(lease.left for lease in self._leases)

    def spend(self, now_ms):
        """Spend a token, and return whether there was one."""
        self._end_leases(now_ms)
        for lease in self._leases:
            if lease.left:
                lease.left -= 1
                lease.spent_ms = now_ms
                if not lease.left:
                    self._leases.remove(lease)
                    self._end(lease)
                return True
        return False

    def compute_ahead(self, now_ms):
        """Return the number of tokens to ask for in advance."""
        per_ms = self._compute_demand(now_ms) / DEMAND_MS
        if per_ms * LEASE_MS < MIN_CALLS_PER_LEASE:
            return 0
        return max(1, round(per_ms * AHEAD_MS))

    def is_short(self, now_ms):
        """Return whether to ask for further tokens before the held ones are spent."""
        if now_ms < max(self._refused_until_ms, self._pause_until_ms):
            return False
        ahead = self.compute_ahead(now_ms)
        return ahead > 1 and self.count(now_ms) < ahead / 2

    def pause(self, now_ms):
        """Ask for nothing in advance for a while, as no owner answers."""
        self._pause_until_ms = now_ms + PAUSE_MS

    def add(self, ahead, answer, owner, asked_ms, now_ms):
        """Add leased tokens, and remember a refusal.

        Parameters
        ----------
        ahead : int
            Tokens that the request wanted for expected calls.
        answer : Answer
            The answer.
        owner : str
            Node that has answered.
        asked_ms : float
            Time of the first sending of the request. The lifetime of the tokens begins
            then, as they were leased later.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        self._answered_ms = now_ms
        if answer.retry_ms > 0:
            self._refused_until_ms = now_ms + answer.retry_ms
            self._ask_again_ms = now_ms + MAX_REMEMBER_MS
        until_ms = asked_ms + (LEASE_MS if ahead else SHORT_LEASE_MS)
        if answer.count < ahead:
            self.pause(now_ms)
        if answer.count:
            self._leases.append(
                _Lease(answer.number, owner, asked_ms, until_ms, answer.count, asked_ms)
            )

    def _end_leases(self, now_ms):
        while self._leases and self._leases[0].until_ms <= now_ms:
            self._end(self._leases.popleft())

    def _end(self, lease):
        # A short lease ends at about the time at which the owner counts it as spent.
        if lease.left or lease.until_ms - lease.asked_ms > SHORT_LEASE_MS:
            age_ms = max(0.0, lease.spent_ms - lease.asked_ms)
            ended = EndedLease(lease.number, lease.owner, lease.left, age_ms)
            self._ended.append(ended)

    def take_ended(self):
        """Return the leases that have ended since the last call."""
        ended, self._ended = self._ended, []
        return ended

    def is_idle(self, now_ms):
        """Return whether nothing is worth remembering."""
        return (
            not self._leases
            and not self._ended
            and now_ms >= self._refused_until_ms
            and self._compute_demand(now_ms) < 1 / 1000
        )
