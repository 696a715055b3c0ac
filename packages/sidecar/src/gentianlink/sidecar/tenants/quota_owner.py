"""The owner's part of the limits: leases tokens of the tenants that this node owns.

It has no clock and no network; the present time is an argument.
"""

import math

import attrs

from gentianlink.node.log import get_logger
from gentianlink.sidecar.tenants.owner_window import OwnerWindow
from gentianlink.sidecar.tenants.quota_message import Answer, Redirect, State
from gentianlink.sidecar.tenants.tenant_limit import compute_limit

_LOG = get_logger("tenants")

# Lifetime of the tokens of a batch, and of tokens for calls that wait: the latter are
# spent as soon as the answer arrives, which takes four sendings 20 ms apart at most.
LEASE_MS = 500.0
SHORT_LEASE_MS = 100.0
# Leases are remembered for this time, so that a repeated request gets the same answer.
REMEMBER_MS = 1000.0
# Period in which the next node by rank and some askers get the state of a window.
STATE_PERIOD_MS = 500.0
SPREAD_PERIOD_MS = 200.0
# A tenant at its limit gets no tokens for this time from an owner that replaces a lost
# one, because the lost one may be alive beyond a partition that it has not noticed.
HOLD_MS = 1500.0
HOLD_SHARE = 0.9
# The nodes that know the window of a lost owner ask its successor within this time.
ESTABLISHED_MS = 1000.0
# By then an owner has probed the nodes of a healed partition, so that its own share has
# risen.
HANDED_MS = 3000.0
# A tenant that has not been over its limit for this time is reported again.
OVER_MS = 1000.0


@attrs.define
class _Lease:
    tenant: str
    answer: Answer | Redirect
    made_ms: float
    until_ms: float
    is_settled: bool = False


@attrs.define
class _Owned:
    window: OwnerWindow
    made_ms: float
    spread_ms: float = 0.0
    sent_ms: float = 0.0
    sent_to: str = ""
    asked_ms: float = 0.0
    handed_share: float = 0.0
    handed_until_ms: float = 0.0
    over_ms: float = -math.inf


class QuotaOwner:
    """Leases tokens of the tenants that this node owns.

    Parameters
    ----------
    selector : OwnerSelector
        Ranks the nodes.
    get_tenant : callable
        Takes a name; returns the tenant of the catalogue version in force, or None.
    bounds : Bounds
        Bounds of the deployment.
    """

    def __init__(self, selector, get_tenant, bounds):
        self._selector = selector
        self._get_tenant = get_tenant
        self._bounds = bounds
        self._window_ms = bounds.quota_window_ms
        self._owned = {}
        self._leases = {}
        # Windows that other nodes have described, by tenant and issuer.
        self._states = {}
        self._takeovers = 0

    @property
    def takeovers(self):
        """Number of windows that this node has taken over from another owner."""
        return self._takeovers

    @property
    def owned(self):
        """Number of tenants whose tokens this node has leased within the window."""
        return len(self._owned)

    @property
    def _length_ms(self):
        return self._window_ms + LEASE_MS

    def answer(self, sender, ask, now_ms):
        """Answer a request of tokens.

        Parameters
        ----------
        sender : str
            Address of the node that asks.
        ask : Ask
            The request.
        now_ms : float
            Present time on the monotonic clock in milliseconds.

        Returns
        -------
        list of Answer, Redirect or State
            The answer; the state of the window may follow it.
        """
        known = self._leases.get((sender, ask.number))
        if known is not None:
            return [known.answer]
        self._selector.refresh(now_ms)
        redirect = self._redirect(ask, now_ms)
        if redirect is not None:
            return [redirect]
        tenant = self._get_tenant(ask.tenant)
        if tenant is None or not tenant.is_limited:
            return [Answer(ask.number, 0, -1)]
        limit = compute_limit(tenant, self._bounds)
        owned = self._owned.get(ask.tenant)
        if owned is None:
            owned = self._owned[ask.tenant] = self._take_over(ask.tenant, limit, now_ms)
        owned.asked_ms = now_ms
        self._adopt_states(ask.tenant, owned, limit, now_ms)
        share = self._get_share(owned, now_ms)
        owned.window.note_share(share, now_ms)
        count, retry_ms = owned.window.take(ask.need, ask.ahead, limit, share, now_ms)
        life_ms = LEASE_MS if ask.ahead else SHORT_LEASE_MS
        until_ms = now_ms + life_ms + self._window_ms
        if count:
            owned.window.charge(count, until_ms, share)
        self._note_limit(owned, tenant, retry_ms, now_ms)
        answer = Answer(ask.number, count, max(1, round(retry_ms)) if retry_ms else 0)
        self._leases[sender, ask.number] = _Lease(ask.tenant, answer, now_ms, until_ms)
        if now_ms - owned.spread_ms < SPREAD_PERIOD_MS:
            return [answer]
        owned.spread_ms = now_ms
        return [answer, State(ask.tenant, self._describe(owned, now_ms))]

    def _redirect(self, ask, now_ms):
        own_id = self._selector.own_id
        owner = self._selector.get_owner(ask.tenant, ask.via)
        if owner is not None and owner != own_id:
            return Redirect(ask.number, owner, False)
        if self._selector.can_lease(now_ms):
            return None
        other = self._selector.get_owner(ask.tenant, (own_id, *ask.via))
        return Redirect(ask.number, other or own_id, True)

    def _describe(self, owned, now_ms, reader=""):
        selector = self._selector
        return owned.window.make_profile(
            selector.own_id,
            self._length_ms,
            selector.share,
            now_ms,
            reader,
            selector.get_joined_ms(reader),
        )

    def _take_over(self, name, limit, now_ms):
        """Return the window of a tenant of which this node has leased nothing."""
        window = OwnerWindow(self._window_ms)
        selector = self._selector
        previous = selector.find_previous_owner(name)
        if previous == selector.own_id:
            return _Owned(window, now_ms)
        self._takeovers += 1
        is_known = any(
            profile.compute_count(now_ms, 1.0) for profile in self._get_states(name)
        )
        # A live owner would have described the window if there were any tokens in it.
        is_idle = (
            previous is not None
            and selector.is_live(previous)
            and not selector.has_restarted(previous)
        )
        if not (is_known or is_idle):
            count = max(0.0, limit.capacity - limit.careful_allowance)
            settled_ms = selector.get_settled_ms(now_ms)
            window.assume(count, self._length_ms, settled_ms)
        _LOG.info(
            "tenant taken over",
            tenant=name,
            previous=previous,
            start="known" if is_known else "idle" if is_idle else "assumed full",
            share=round(selector.share, 3),
        )
        return _Owned(window, now_ms)

    def _get_share(self, owned, now_ms):
        handed = owned.handed_share if now_ms < owned.handed_until_ms else 0.0
        return min(1.0, self._selector.share + handed)

    def _get_states(self, tenant):
        return list(self._states.get(tenant, {}).values())

    def _adopt_states(self, tenant, owned, limit, now_ms):
        states = self._states.get(tenant)
        if not states:
            return
        selector = self._selector
        is_established = now_ms - owned.made_ms >= ESTABLISHED_MS
        for issuer, profile in list(states.items()):
            is_live = selector.is_live(issuer)
            # An owner beyond a partition that is just healing describes its window
            # itself when it ends. Until then it uses its share, and this node its own.
            if is_established and not is_live:
                continue
            del states[issuer]
            is_lost = not is_live or selector.has_restarted(issuer)
            if is_live and selector.share < 1:
                # The owner beyond a healed partition has ended, and leaves its share.
                owned.handed_share = profile.share
                owned.handed_until_ms = now_ms + HANDED_MS
            owned.window.adopt(profile, owned.made_ms if is_lost else None, limit)
            count = owned.window.compute_count(now_ms, 1.0)
            if not is_live and count >= HOLD_SHARE * limit.capacity:
                owned.window.hold_until(owned.made_ms + HOLD_MS)

    def _note_limit(self, owned, tenant, retry_ms, now_ms):
        if not retry_ms:
            return
        is_new = now_ms - owned.over_ms >= OVER_MS
        owned.over_ms = now_ms
        if is_new:
            share = self._selector.share
            _LOG.info(
                "tenant over its limit",
                tenant=tenant.name,
                rate_per_s=tenant.rate_per_s,
                burst=tenant.burst,
                counted=round(owned.window.compute_count(now_ms, share)),
                share=round(share, 3),
                retry_ms=round(retry_ms),
            )

    def learn(self, state, now_ms):
        """Keep a window that another node has described.

        Parameters
        ----------
        state : State
            The description.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        profile = state.profile
        if profile.issuer == self._selector.own_id:
            return
        states = self._states.setdefault(state.tenant, {})
        known = states.get(profile.issuer)
        if known is None or known.issued_ms < profile.issued_ms:
            states[profile.issuer] = profile

    def settle(self, sender, settle):
        """Take back the unspent tokens of a lease.

        Parameters
        ----------
        sender : str
            Address of the node that had the lease.
        settle : Settle
            The message.
        """
        lease = self._leases.get((sender, settle.number))
        if lease is None or lease.is_settled or lease.tenant not in self._owned:
            return
        lease.is_settled = True
        window = self._owned[lease.tenant].window
        unspent = min(settle.unspent, lease.answer.count)
        window.move(unspent, lease.until_ms, None)
        spent_ms = lease.made_ms + settle.age_ms + self._window_ms
        if spent_ms < lease.until_ms:
            window.move(lease.answer.count - unspent, lease.until_ms, spent_ms)

    def credit(self, sender, credit, now_ms):
        """Take back tokens of calls that no target has run.

        Parameters
        ----------
        sender : str
            Address of the node where the calls arrived.
        credit : Credit
            The message.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        key = sender, credit.number
        owned = self._owned.get(credit.tenant)
        if owned is None or key in self._leases:
            return
        answer = Answer(credit.number, 0, 0)
        self._leases[key] = _Lease(credit.tenant, answer, now_ms, now_ms, True)
        owned.window.give_back(credit.count, now_ms)

    def sweep(self, now_ms):
        """Forget what no longer matters, and describe windows to the next by rank.

        Parameters
        ----------
        now_ms : float
            Present time on the monotonic clock in milliseconds.

        Returns
        -------
        list of tuple of str and State
            States to send, each with the name of the node.
        """
        self._selector.refresh(now_ms)
        for key, lease in list(self._leases.items()):
            if now_ms - lease.made_ms < REMEMBER_MS:
                break
            del self._leases[key]
        for tenant, states in list(self._states.items()):
            for issuer, profile in list(states.items()):
                if now_ms - profile.issued_ms >= self._length_ms:
                    del states[issuer]
            if not states:
                del self._states[tenant]
        due = []
        for name, owned in list(self._owned.items()):
            if owned.window.is_idle(now_ms):
                del self._owned[name]
            else:
                node_id = self._selector.get_owner(name, (self._selector.own_id,))
                is_due = now_ms - owned.sent_ms >= STATE_PERIOD_MS
                if node_id is not None and (is_due or node_id != owned.sent_to):
                    owned.sent_ms, owned.sent_to = now_ms, node_id
                    profile = self._describe(owned, now_ms, node_id)
                    if any(profile.counts):
                        due.append((node_id, State(name, profile)))
        return due

    def get_counts(self, now_ms):
        """Return for each tenant the tokens that count, and for how long it is idle.

        Parameters
        ----------
        now_ms : float
            Present time on the monotonic clock in milliseconds.

        Returns
        -------
        dict of str to tuple of float
            Number of tokens and time in milliseconds since the last request, by name.
        """
        share = self._selector.share
        return {
            name: (owned.window.compute_count(now_ms, share), now_ms - owned.asked_ms)
            for name, owned in self._owned.items()
        }
