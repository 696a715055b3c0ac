"""Limits of tenants, kept by all nodes together.

The gate of a node holds tokens of tenants, asks their owners for more, and answers the
requests of other nodes for the tenants that this node owns. The decisions are in
`HeldTokens`, `QuotaOwner` and `OwnerSelector`.
"""

import asyncio
import collections
import math
import random

import attrs
import orjson

from gentianlink.core.reason import Reason
from gentianlink.node.background import start_task
from gentianlink.node.clock import get_monotonic_ms
from gentianlink.node.log import get_logger
from gentianlink.node.proxy.refusal import Refusal
from gentianlink.sidecar.tenants.held_tokens import HeldTokens
from gentianlink.sidecar.tenants.owner_selector import OwnerSelector
from gentianlink.sidecar.tenants.quota_message import (
    Answer,
    Ask,
    Credit,
    Echo,
    Probe,
    Redirect,
    Settle,
    State,
    decode_message,
    encode_message,
)
from gentianlink.sidecar.tenants.quota_owner import LEASE_MS, QuotaOwner
from gentianlink.sidecar.tenants.reach_prober import ReachProber

_LOG = get_logger("tenants")

KIND = "q"
# Messages to the same node within this time are sent together.
GATHER_S = 0.002
# Bytes of messages in a datagram, below `MAX_DATAGRAM_BYTES` by its framing.
MAX_GATHERED_BYTES = 1300
# A request is sent again after this time, three times in all.
RESEND_S = 0.02
SENDINGS = 4
# Nodes that send a request on, before the call is refused.
MAX_REDIRECTS = 4
# Retry-After of a call whose tenant's owner does not answer.
NO_OWNER_RETRY_MS = 200
SWEEP_S = 0.1
# A node that starts is asked again after this time.
REDIRECT_MS = 500.0
# The owner is probed again after this time at the earliest.
DOUBT_MS = 1000.0
# Refusals of a tenant by its owner are reported once in this time.
REPORT_MS = 1000.0
# Request numbers begin at random, so that a restarted process does not get the answers
# to requests of the earlier one.
MAX_FIRST_NUMBER = 1_000_000


@attrs.define(eq=False)
class _Account:
    held: HeldTokens
    waiters: collections.deque = attrs.Factory(collections.deque)
    is_asking: bool = False
    # Window that an owner has described, to be shown to the next owner.
    state: State | None = None
    shown_to: str = ""
    # Owner of the last answer, and the nodes that did not lease yet.
    owner: str = ""
    asked_ms: float = 0.0
    refused_ms: float = -math.inf
    via: tuple[str, ...] = ()
    via_until_ms: float = 0.0


class QuotaGate:
    """Takes a token of a call's tenant before the call is routed.

    Parameters
    ----------
    directory : PeerDirectory
        Records of the nodes.
    datagrams : DatagramEndpoint
        Sends and receives datagrams.
    get_tenant : callable
        Takes a name; returns the tenant of the catalogue version in force, or None.
    bounds : Bounds
        Bounds of the deployment.
    is_informed : callable
        Returns whether this node knows the other nodes.
    on_silent : callable
        Called with the record of a node that leaves requests unanswered.
    probe : callable
        Called with the record of a node that leaves another node's requests unanswered.
    metrics : CallMetrics
        Counts refusals.
    get_now_ms : callable, optional
        Returns the present time on the monotonic clock in milliseconds.
    may_have_tenants : callable, optional
        Returns whether the catalogue has tenants, or is not known yet.
    """

    def __init__(
        self,
        directory,
        datagrams,
        get_tenant,
        bounds,
        is_informed,
        on_silent,
        probe,
        metrics,
        get_now_ms=get_monotonic_ms,
        may_have_tenants=lambda: True,
    ):
        self._directory = directory
        self._datagrams = datagrams
        self._on_silent = on_silent
        self._probe = probe
        self._metrics = metrics
        self._get_now_ms = get_now_ms
        self._may_have_tenants = may_have_tenants
        memory_ms = bounds.quota_window_ms + LEASE_MS
        self._selector = OwnerSelector(directory, is_informed, memory_ms, get_now_ms())
        self._owner = QuotaOwner(self._selector, get_tenant, bounds)
        self._accounts = {}
        self._number = random.randrange(MAX_FIRST_NUMBER)
        self._asked = {}
        self._outbox = {}
        self._doubted = {}
        self._prober = ReachProber()
        # Nodes that were probed because they delay this one after its start.
        self._probed_at_start = set()
        self._node_by_address = {}
        datagrams.register(KIND, self._receive)

    @property
    def owner(self):
        """The part that leases tokens to other nodes."""
        return self._owner

    async def take(self, tenant, now_ms):
        """Take a token for one call.

        Parameters
        ----------
        tenant : Tenant
            Tenant of the call.
        now_ms : float
            Present time on the monotonic clock in milliseconds.

        Returns
        -------
        Refusal or None
            None if the call is within the tenant's limit.
        """
        account = self._accounts.get(tenant.name)
        if account is None:
            account = self._accounts[tenant.name] = _Account(HeldTokens(tenant))
        held = account.held
        if held.tenant is not tenant:
            held.update_tenant(tenant)
        held.note_call(now_ms)
        if held.spend(now_ms):
            if held.is_short(now_ms):
                self._start_asking(account)
            return None
        retry_ms = held.compute_refusal_ms(now_ms)
        if retry_ms:
            return self._refuse(tenant, "remembered", retry_ms)
        waiter = asyncio.get_running_loop().create_future()
        account.waiters.append(waiter)
        self._start_asking(account)
        return await waiter

    def _refuse(self, tenant, cause, retry_ms):
        self._metrics.count("quota_refusals_total", tenant=tenant.name, cause=cause)
        reason = Reason.NOT_READY if cause == "no-owner" else Reason.QUOTA_EXCEEDED
        return Refusal(reason, retry_after_ms=max(1, round(retry_ms)))

    def give_back(self, tenant, now_ms):
        """Return the token of a call that no target has run.

        Parameters
        ----------
        tenant : Tenant
            Tenant of the call.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        account = self._accounts.get(tenant.name)
        owner = account.owner if account else ""
        self._send_to(owner, Credit(self._make_number(), tenant.name, 1))

    def _make_number(self):
        self._number += 1
        return self._number

    def _start_asking(self, account):
        if not account.is_asking:
            account.is_asking = True
            start_task(self._ask_while_needed(account), "tokens of a tenant")

    async def _ask_while_needed(self, account):
        try:
            while True:
                await self._ask_once(account)
                now_ms = self._get_now_ms()
                self._serve_waiters(account, now_ms)
                while account.waiters and account.waiters[0].done():
                    account.waiters.popleft()
                if not (account.waiters or account.held.is_short(now_ms)):
                    return
        finally:
            account.is_asking = False

    def _serve_waiters(self, account, now_ms):
        """Give the tokens to the calls that wait; refuse the rest after a refusal."""
        retry_ms = account.held.compute_refusal_ms(now_ms)
        while account.waiters:
            waiter = account.waiters[0]
            if not waiter.done():
                if account.held.spend(now_ms):
                    waiter.set_result(None)
                elif retry_ms:
                    tenant = account.held.tenant
                    waiter.set_result(self._refuse(tenant, "owner", retry_ms))
                else:
                    return
            account.waiters.popleft()

    async def _ask_once(self, account):
        now_ms = self._get_now_ms()
        held = account.held
        need = sum(not waiter.done() for waiter in account.waiters)
        ask = Ask(
            self._make_number(),
            held.tenant.name,
            need,
            held.compute_ahead(now_ms),
            account.via if now_ms < account.via_until_ms else (),
        )
        # Ended leases of the same owner share the datagram of the request.
        self._settle(held, now_ms)
        answer = await self._exchange(account, ask)
        if answer is None or answer.retry_ms < 0:
            for waiter in account.waiters:
                if not waiter.done():
                    refusal = self._refuse(held.tenant, "no-owner", NO_OWNER_RETRY_MS)
                    waiter.set_result(refusal)
            account.waiters.clear()
            held.pause(self._get_now_ms())
            return
        held.add(ask.ahead, answer, account.owner, account.asked_ms, self._get_now_ms())
        if answer.retry_ms and now_ms - account.refused_ms >= REPORT_MS:
            account.refused_ms = now_ms
            _LOG.info(
                "tokens refused",
                tenant=held.tenant.name,
                owner=account.owner,
                need=need,
                count=answer.count,
                retry_ms=answer.retry_ms,
            )

    async def _exchange(self, account, ask):
        """Return the owner's answer to a request, None if no owner answers."""
        now_ms = self._get_now_ms()
        self._selector.refresh(now_ms)
        node_id = self._selector.get_owner(ask.tenant, ask.via)
        for _ in range(MAX_REDIRECTS):
            reply = await self._send_ask(account, ask, node_id)
            if isinstance(reply, Answer):
                account.owner = node_id
                return reply
            if reply is None:
                return None
            if reply.is_starting:
                via = (*ask.via, node_id)
                account.via, account.via_until_ms = via, now_ms + REDIRECT_MS
                ask = attrs.evolve(ask, number=self._make_number(), via=via)
            else:
                ask = attrs.evolve(ask, number=self._make_number())
            if reply.owner == node_id:
                return None
            # The other node may know already that a lost owner is back.
            node_id = reply.owner
        return None

    async def _send_ask(self, account, ask, node_id):
        if node_id == self._selector.own_id:
            state = account.state
            account.asked_ms = self._get_now_ms()
            if state is not None:
                self._owner.learn(state, self._get_now_ms())
            return self._owner.answer("", ask, self._get_now_ms())[0]
        record = None if node_id is None else self._directory.get(node_id)
        if record is None:
            return None
        account.asked_ms = self._get_now_ms()
        reply = asyncio.get_running_loop().create_future()
        self._asked[ask.number] = account, reply
        try:
            for sending in range(SENDINGS):
                # A later owner is told once what the earlier one has described.
                state = account.state
                if state is not None and account.shown_to != node_id:
                    account.shown_to = node_id if sending else account.shown_to
                    if state.profile.issuer != node_id:
                        self._send(record.peer_address, state)
                self._send(record.peer_address, ask)
                done, _ = await asyncio.wait([reply], timeout=RESEND_S)
                if done:
                    account.shown_to = node_id
                    return reply.result()
        finally:
            del self._asked[ask.number]
        _LOG.warning("owner does not answer", tenant=ask.tenant, owner=node_id)
        self._on_silent(record)
        self._selector.refresh_now(self._get_now_ms())
        return None

    def _send_to(self, node_id, message):
        """Send a message to a node by its name; this node takes it itself."""
        now_ms = self._get_now_ms()
        if node_id == self._selector.own_id:
            self._process(message, "", now_ms)
            return
        record = self._directory.get(node_id)
        if record is not None:
            self._send(record.peer_address, message)

    def _send(self, address, message):
        fields = encode_message(message, self._get_now_ms())
        if address not in self._outbox:
            self._outbox[address] = []
            loop = asyncio.get_running_loop()
            loop.call_later(GATHER_S, self._flush, address)
        self._outbox[address].append(fields)

    def _flush(self, address):
        gathered, gathered_bytes = [], 0
        for fields in self._outbox.pop(address):
            size = len(orjson.dumps(fields)) + 1
            if gathered and gathered_bytes + size > MAX_GATHERED_BYTES:
                self._datagrams.send(address, KIND, gathered)
                gathered, gathered_bytes = [], 0
            gathered.append(fields)
            gathered_bytes += size
        self._datagrams.send(address, KIND, gathered)

    def _receive(self, messages, sender):
        now_ms = self._get_now_ms()
        self._note_heard(sender, now_ms)
        # All fields are checked before anything is done.
        for message in [decode_message(fields, now_ms) for fields in messages]:
            self._process(message, sender, now_ms)

    def _note_heard(self, sender, now_ms):
        node_id = self._node_by_address.get(sender)
        if node_id is None:
            return
        is_back = node_id in self._prober.unreachable
        self._prober.note_heard(node_id, now_ms)
        if self._directory.is_lost(node_id):
            self._directory.note_heard(node_id, 0, now_ms)
            is_back = True
        if is_back:
            self._selector.note_unreachable(self._prober.unreachable)
            self._selector.refresh_now(now_ms)

    def _process(self, message, sender, now_ms):
        match message:
            case Probe():
                self._send(sender, Echo())
            case Ask():
                replies = self._owner.answer(sender, message, now_ms)
                for reply in replies:
                    self._send(sender, reply)
                if isinstance(replies[0], Redirect) and not replies[0].is_starting:
                    self._doubt(replies[0].owner, now_ms)
            case Answer(number) | Redirect(number):
                _, reply = self._asked.get(number, (None, None))
                if reply is not None and not reply.done():
                    reply.set_result(message)
            case Settle():
                self._owner.settle(sender, message)
            case Credit():
                self._owner.credit(sender, message, now_ms)
            case State(tenant, profile):
                self._owner.learn(message, now_ms)
                account = self._accounts.get(tenant)
                if account is not None and profile.issuer != self._selector.own_id:
                    account.state = message

    def _doubt(self, node_id, now_ms):
        """Probe a node that another node does not take for the owner any more."""
        if now_ms - self._doubted.get(node_id, -DOUBT_MS) >= DOUBT_MS:
            self._doubted[node_id] = now_ms
            record = self._directory.get(node_id)
            if record is not None:
                self._probe(record)
                self._prober.suspect(node_id, now_ms)

    async def run(self):
        """Settle ended leases and describe windows to other nodes, until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_S)
            # A sweep looks at the records of all nodes.
            if self._may_have_tenants() or self._accounts or self._owner.owned:
                self.sweep(self._get_now_ms())

    def sweep(self, now_ms):
        """Settle ended leases, and describe windows to other nodes."""
        for name, account in list(self._accounts.items()):
            held = account.held
            self._settle(held, now_ms)
            is_state_old = (
                account.state is None
                or now_ms - account.state.profile.issued_ms >= self._selector.memory_ms
            )
            if held.is_idle(now_ms) and is_state_old and not account.is_asking:
                del self._accounts[name]
        for node_id, state in self._owner.sweep(now_ms):
            self._send_to(node_id, state)
        self._probe_nodes(now_ms)

    def _settle(self, held, now_ms):
        held.count(now_ms)
        for ended in held.take_ended():
            age_ms = round(ended.age_ms) + 1
            self._send_to(ended.owner, Settle(ended.number, ended.unspent, age_ms))

    def _probe_nodes(self, now_ms):
        records = [r for r in self._directory.get_records() if not r.is_stopping]
        addresses = {record.node_id: record.peer_address for record in records}
        self._node_by_address = {a: node_id for node_id, a in addresses.items()}
        is_owner = self._owner.owned > 0
        lost = {n for n in addresses if self._directory.is_lost(n)}
        if self._accounts:
            for node_id in (
                set(self._selector.list_earlier_processes(now_ms))
                - self._probed_at_start
            ):
                self._probed_at_start.add(node_id)
                self._prober.suspect(node_id, now_ms)
        for node_id in self._prober.choose(list(addresses), lost, is_owner, now_ms):
            self._send(addresses[node_id], Probe())
        self._selector.note_unreachable(self._prober.unreachable)

    def get_gauges(self, now_ms):
        """Return what this node holds, for the metrics.

        Parameters
        ----------
        now_ms : float
            Present time on the monotonic clock in milliseconds.

        Returns
        -------
        dict of str to float or list
            Values by the name of the metric; a list has pairs of labels and value.
        """
        counts = self._owner.get_counts(now_ms)
        held = {name: account.held for name, account in self._accounts.items()}
        return {
            "quota_share": self._selector.share,
            "quota_held_tokens": [
                ({"tenant": name}, item.count(now_ms)) for name, item in held.items()
            ],
            "quota_answer_age_seconds": [
                ({"tenant": name}, (now_ms - item.answered_ms) / 1000)
                for name, item in held.items()
            ],
            "quota_counted_tokens": [
                ({"tenant": name}, count) for name, (count, _) in counts.items()
            ],
        }
