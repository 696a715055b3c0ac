"""Exchange of state (gossip) with a few other nodes.

A node exchanges state with the nodes that :func:`choose_links` names. It passes on each
change that is new to it, so a change reaches all nodes within a few hops. Digests show
what two nodes miss of each other.
"""

import asyncio
import functools
import random

from gentianlink.core.errors import CodecError, PlatformError
from gentianlink.node.background import start_lasting_task
from gentianlink.node.clock import get_monotonic_ms, get_now_ms
from gentianlink.node.log import get_logger
from gentianlink.sidecar.endpoints_server import Reply
from gentianlink.sidecar.exchange.datagram_requests import DatagramRequests
from gentianlink.sidecar.exchange.overlay import choose_links
from gentianlink.sidecar.exchange.peer_codec import (
    FORM_FIRST,
    decode_message,
    encode_message,
    parse_message,
    read_message,
)
from gentianlink.sidecar.exchange.peer_connections import PeerConnections
from gentianlink.sidecar.exchange.peer_link import PeerLink
from gentianlink.sidecar.exchange.peer_message import LostNode, PeerMessage
from gentianlink.sidecar.exchange.peer_paths import EXCHANGE_PATH, PREFIXES
from gentianlink.sidecar.exchange.peer_requests import PeerRequests
from gentianlink.sidecar.exchange.record_comparison import RecordComparison
from gentianlink.sidecar.exchange.record_push import RecordPush, is_urgent
from gentianlink.sidecar.exchange.record_spread import RecordSpread
from gentianlink.sidecar.peer_directory import FORGET_MS
from gentianlink.sidecar.peer_record import check_starts
from gentianlink.sidecar.rollout.rollout_board import RolloutBoard
from gentianlink.sidecar.status import STATUS_BAD_REQUEST, STATUS_NOT_FOUND, STATUS_OK

_LOG = get_logger("peers")

# Period of the exchanges over a link without changes.
PERIOD_MS = 2500.0
# Nodes that start or change at the same moment do not stay in step.
PERIOD_JITTER = 0.25
# Exponential back-off after exchanges without an answer.
FIRST_BACKOFF_MS = 700.0
BACKOFF_GROWTH = 1.3
MAX_BACKOFF_MS = 5000.0
# Unanswered exchanges after which other nodes are told that a node is lost. A busy node
# may leave one unanswered.
FAILURES_TO_REPORT = 2
# Exchanges without a change after which two nodes with different records compare them.
LASTING_MISMATCHES = 2
# Delay after the first of them, where changes are sent as datagrams.
SECOND_LOOK_S = 0.5
# Records in one message; the rest follows in the next one.
MAX_RECORDS = 200
# Jitter before the first exchange, for nodes that start at the same moment.
FIRST_JITTER_S = 0.1
# Delay before a change is sent. Changes that follow within the gap after an exchange
# are sent together, so that many changes at once cost few messages.
MIN_PUSH_DELAY_MS = 5.0
MAX_PUSH_DELAY_MS = 15.0
MIN_GAP_MS = 100.0
# Delay before a change of this node's record is sent. Only work times and reachability
# are not urgent: they change often, and several changes are sent as one.
OWN_URGENT_DELAY_MS = 4.0, 6.0
OWN_DELAY_MS = 20.0, 40.0
# Step of the clock of the event loop.
CLOCK_STEP_S = 0.001
# Delay of a new choice of links; nodes that start together are found within it. A node
# without links does not wait.
LINKS_DELAY_S = 0.3
FIRST_LINKS_DELAY_S = 0.01


class PeerExchange(PeerRequests):
    """Exchanges records, loads and versions with a few other nodes.

    Parameters
    ----------
    directory : PeerDirectory
        Records of the nodes.
    load_view : LoadView
        Loads of the targets of all nodes.
    get_own_load : callable
        Returns the load of the target beside this node.
    get_version : callable
        Returns the catalogue version in force at this node.
    on_previous_record : callable
        Called with the record of this node's previous incarnation, when another node
        returns it.
    connections : PeerConnections, optional
        Connections to other nodes.
    rollouts : RolloutBoard, optional
        Roll-outs of which this node knows.
    datagrams : DatagramEndpoint, optional
        Datagrams to other nodes; without it all messages are sent over HTTP.
    on_task_failure : callable, optional
        Called with the name of a task that has failed and is started again.
    """

    def __init__(
        self,
        directory,
        load_view,
        get_own_load,
        get_version,
        on_previous_record,
        connections=None,
        rollouts=None,
        datagrams=None,
        on_task_failure=lambda name: None,
    ):
        super().__init__(directory, connections or PeerConnections())
        self._on_task_failure = on_task_failure
        self._load_view = load_view
        self._get_own_load = get_own_load
        self._get_version = get_version
        self._on_previous_record = on_previous_record
        self._rollouts = rollouts or RolloutBoard()
        self._links = {}
        self._push = self._requests = self._spread = None
        if datagrams is not None:
            self._push = RecordPush(
                directory,
                self._links,
                datagrams,
                self._update_record,
                self._process_lost,
            )
            self._spread = RecordSpread(
                directory,
                datagrams,
                lambda record: self._update_record(record, None, is_spread=True),
            )
            self._requests = DatagramRequests(datagrams, self._answer_datagram)
        self._comparison = RecordComparison(
            directory, self._connections, self._update_record
        )
        self._chosen_addresses = set()
        self._is_choice_due = False
        self._push_timer = None
        # Record of this node when its changes were last sent.
        self._pushed = directory.own
        self._previous_records = {}
        self._spread_version = 0

    @property
    def links(self):
        """Number of nodes with which state is exchanged."""
        return len(self._links)

    @property
    def comparison(self):
        """Comparison of all records with those of another node."""
        return self._comparison

    @property
    def own_order(self):
        """Order of this node's present record."""
        return self._directory.own.order

    def count_holders(self, order):
        """Count the nodes that have said that they know this node's record.

        Parameters
        ----------
        order : tuple of int
            Order of the record; later ones count as well.

        Returns
        -------
        holders : int
            Linked nodes that know it.
        others : int
            All nodes that are not lost.
        """
        orders = [link.confirmed_order for link in self._links.values()]
        holders = sum(item is not None and item >= order for item in orders)
        return holders, len(self._directory.get_live_records())

    def offer_record(self, order):
        """Begin exchanges with the linked nodes that may not know this node's record.

        Parameters
        ----------
        order : tuple of int
            Order of the record.
        """
        for link in self._links.values():
            known = link.confirmed_order
            if not link.is_due and (known is None or known < order):
                link.wake_for_exchange()

    def learn(self, record):
        """Take the record of another node into account.

        Parameters
        ----------
        record : PeerRecord
            The record, for example of the node's row.
        """
        self._update_record(record, None)

    def _update_record(self, record, source, is_spread=False):
        """Store a record and pass it on if it is newer.

        What is spread in the data centre reaches nodes that accept datagrams anyway.
        """
        if record.node_id == self._directory.own.node_id:
            return
        try:
            check_starts(record, get_now_ms())
        except CodecError as error:
            _LOG.warning(
                "record of a node unreadable", peer=record.node_id, why=str(error)
            )
            return
        before = self._directory.get(record.node_id)
        was_lost = self._directory.is_lost(record.node_id)
        previous = self._directory.update_record(record, get_monotonic_ms())
        if previous is not None and record.peer_address in self._links:
            self._previous_records[record.node_id] = previous
        known = self._directory.get(record.node_id)
        if source is not None and known is not None and record.order >= known.order:
            source.note_known(record.node_id, record.order)
        if known is before:
            return
        for link in self._links.values():
            if is_spread and link.takes_datagrams:
                continue
            if link is not source and link.node_id != record.node_id:
                link.lost.pop(record.node_id, None)
                link.add_record(record, was_lost or is_urgent(before, record))
        if was_lost or previous is not None:
            self._choose_links_soon()

    def _choose_links_soon(self):
        if not self._is_choice_due:
            self._is_choice_due = True
            loop = asyncio.get_running_loop()
            delay_s = LINKS_DELAY_S if self._links else FIRST_LINKS_DELAY_S
            loop.call_later(delay_s, self._choose_links)

    def _choose_links(self):
        self._is_choice_due = False
        own = self._directory.own
        chosen = choose_links(own, self._directory.get_live_records())
        self._chosen_addresses = {item.peer_address for item in chosen.values()}
        if self._spread is not None:
            self._spread.choose_addresses(chosen.values())
        for record in chosen.values():
            self._open_link(record)

    def _open_link(self, record):
        address = record.peer_address
        if address == self._directory.own.peer_address or address in self._links:
            return
        link = PeerLink(address, record.node_id, get_monotonic_ms(), self._push)
        self._links[address] = link
        run_link = functools.partial(self._run_link, link)
        link.task = start_lasting_task(run_link, "peer", self._on_task_failure)

    async def _run_link(self, link):
        # If the other node has begun an exchange during the jitter, this node need not.
        await asyncio.sleep(random.uniform(0.0, FIRST_JITTER_S))
        if link.acknowledged_order == self._directory.own.order:
            await self._wait(link)
        link.is_due = True
        while True:
            link.wake.clear()
            # The other node may have begun an exchange that carried all changes.
            if link.is_due or self._has_changes(link):
                link.is_due = False
                await self._exchange(link)
            if self._is_superfluous(link):
                del self._links[link.address]
                return
            await self._wait(link)

    def _is_superfluous(self, link):
        """Return whether a link is neither chosen nor waits for a lost node."""
        if get_monotonic_ms() - link.last_heard_ms >= FORGET_MS:
            return True
        return not link.failures and link.address not in self._chosen_addresses

    async def _wait(self, link):
        # Cheaper than asyncio.timeout, which ends each wait with an exception.
        loop = asyncio.get_running_loop()
        due_s = loop.time() + self._compute_wait_ms(link) / 1000
        timer = loop.call_at(due_s, link.wake_for_exchange)
        try:
            await link.wake.wait()
        finally:
            timer.cancel()
        if loop.time() >= due_s - CLOCK_STEP_S:
            return
        if not link.failures:
            delay_ms = random.uniform(MIN_PUSH_DELAY_MS, MAX_PUSH_DELAY_MS)
            gap_ms = link.last_heard_ms + MIN_GAP_MS - get_monotonic_ms()
            await asyncio.sleep(max(delay_ms, gap_ms) / 1000)

    def _compute_wait_ms(self, link):
        if link.failures:
            growth = BACKOFF_GROWTH ** (link.failures - 1)
            wait_ms = min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * growth)
        elif self._has_changes(link):
            return max(
                MIN_PUSH_DELAY_MS, link.last_heard_ms + MIN_GAP_MS - get_monotonic_ms()
            )
        else:
            # The node with the lower address usually begins the exchange of a pair; the
            # other one does so only after twice the period.
            is_first = self._directory.own.peer_address < link.address
            wait_ms = PERIOD_MS if is_first else 2 * PERIOD_MS
        return wait_ms * random.uniform(1 - PERIOD_JITTER, 1 + PERIOD_JITTER)

    def _has_changes(self, link):
        if link.takes_datagrams:
            return False
        is_own_known = link.acknowledged_order == self._directory.own.order
        return bool(link.records or link.lost) or not is_own_known

    async def _exchange(self, link):
        message = self._make_message(link.node_id, link)
        try:
            reply = await self._send(link, message)
        except (PlatformError, CodecError) as error:
            self._note_failure(link, message, error)
            return
        self._process_message(reply, link)
        if reply.digest == self._directory.digest.whole:
            link.is_synchronised = True
            link.mismatches = 0
        elif message.records or reply.records:
            link.mismatches = 0
        else:
            link.mismatches += 1
            if link.takes_datagrams:
                # A datagram may be lost, or still under way.
                loop = asyncio.get_running_loop()
                loop.call_later(SECOND_LOOK_S, link.wake_for_exchange)
        is_lasting = link.mismatches >= LASTING_MISMATCHES
        if is_lasting or not (link.is_synchronised or link.form == FORM_FIRST):
            await self._comparison.compare(link)

    async def _send(self, link, message):
        has_news = message.records or message.lost or message.previous
        is_due = link.is_datagram_due
        is_unanswered = link.accepts_datagrams and not is_due
        if is_due and not has_news:
            body = encode_message(message, link.form)
            values = await self._requests.send(link.address, body)
            if values:
                link.unanswered = 0
                return read_message(values)
            is_unanswered = values is None
        connections = self._connections.get(link.address)
        while True:
            path = PREFIXES[link.form] + EXCHANGE_PATH
            body = encode_message(message, link.form)
            answer = await connections.send("POST", path, body)
            if answer.code != STATUS_NOT_FOUND or link.form == FORM_FIRST:
                break
            link.form -= 1
        if answer.code != STATUS_OK:
            raise CodecError(f"status {answer.code}")
        if is_unanswered:
            link.unanswered += 1
        return decode_message(answer.body)

    def _note_failure(self, link, message, error):
        link.note_failure()
        link.records = {item.node_id: item for item in message.records} | link.records
        link.lost = {item.node_id: item for item in message.lost} | link.lost
        if message.previous is not None:
            self._previous_records.setdefault(
                message.previous.node_id, message.previous
            )
        # A node that has only its row so far may not have started yet.
        if not link.is_heard and link.failures < FAILURES_TO_REPORT:
            return
        now_ms = get_monotonic_ms()
        is_new = not self._directory.is_lost(link.node_id)
        self._directory.note_lost(link.node_id, f"exchange: {error}", now_ms)
        if link.failures == FAILURES_TO_REPORT:
            record = self._directory.get(link.node_id)
            if record is not None:
                self._pass_on_lost(LostNode(link.node_id, record.order), link)
        if is_new:
            self._choose_links_soon()

    def _make_message(self, node_id, link, acknowledged_order=None):
        own = self._directory.own
        peer_record = self._directory.get(node_id)
        records, lost = (), ()
        if link is not None:
            acknowledged_order = link.acknowledged_order
            if own.order == link.pushed_order:
                acknowledged_order = own.order
            records = tuple(link.records.values())[:MAX_RECORDS]
            lost = tuple(link.lost.values())
            for record in records:
                del link.records[record.node_id]
            link.lost.clear()
        missing_version = self._get_missing_version()
        return PeerMessage(
            node_id=own.node_id,
            order=own.order,
            version=self._get_version(),
            load=self._get_own_load(),
            known_order=(0, 0) if peer_record is None else peer_record.order,
            record=None if acknowledged_order == own.order else own,
            previous=self._previous_records.pop(node_id, None),
            digest=self._directory.digest.whole,
            records=records,
            lost=lost,
            missing_version=missing_version,
            holder_id=self._directory.newest_holder if missing_version else "",
            rollouts=self._rollouts.states,
        )

    def _get_missing_version(self):
        """Return the version that this node has told others to be missing, or 0."""
        is_missing = self._spread_version > self._get_version()
        return self._directory.get_newest_version() if is_missing else 0

    def _process_message(self, message, link):
        now_ms = get_monotonic_ms()
        if message.record is not None:
            self._update_record(message.record, link)
            link = link or self._links.get(message.record.peer_address)
        if self._directory.is_lost(message.node_id):
            self._choose_links_soon()
        self._directory.note_heard(message.node_id, message.version, now_ms)
        self._load_view.report(message.node_id, message.load, now_ms)
        if link is not None:
            link.note_heard(message.node_id, message.known_order, now_ms)
            own_order = self._directory.own.order
            if link.takes_datagrams and (
                own_order not in (link.acknowledged_order, link.pushed_order)
            ):
                link.send_soon(False)
        for record in message.records:
            self._update_record(record, link)
        for lost in message.lost:
            self._process_lost(lost, link)
        if self._rollouts.merge(message.rollouts):
            self.spread_rollouts()
        if message.previous is not None:
            self._on_previous_record(message.previous)
        if message.missing_version > self._get_version():
            self._directory.note_holder(message.holder_id, message.missing_version)
            self.spread_missing_version(message.missing_version)

    def _process_lost(self, lost, link):
        now_ms = get_monotonic_ms()
        own = self._directory.own
        if lost.node_id == own.node_id:
            if lost.order >= own.order:
                # A newer record refutes the report.
                self._directory.update_own()
                self.push()
            return
        if self._directory.note_reported_lost(lost, now_ms):
            self._pass_on_lost(lost, link)
            self._choose_links_soon()

    def _pass_on_lost(self, lost, source):
        # The node itself is told as well, as soon as it answers, so that it can refute.
        for link in self._links.values():
            if link is not source or link.node_id == lost.node_id:
                link.add_lost(lost)

    def probe(self, record):
        """Begin an exchange with a node soon, because a call to it has failed.

        Parameters
        ----------
        record : PeerRecord
            Record of the node.
        """
        self._open_link(record)
        link = self._links.get(record.peer_address)
        if link is not None and not link.failures:
            link.wake_for_exchange()

    def announce_version(self):
        """Tell the linked nodes of other data centres the version in force soon."""
        own_data_centre = self._directory.own.data_centre
        for link in self._links.values():
            record = self._directory.get(link.node_id)
            if record is not None and record.data_centre != own_data_centre:
                link.wake_for_exchange()

    def spread_missing_version(self, version):
        """Tell all linked nodes of a version that this node misses.

        Parameters
        ----------
        version : int
            The version that another node has in force.
        """
        if version > self._spread_version:
            self._spread_version = version
            for link in self._links.values():
                link.wake_for_exchange()

    def spread_rollouts(self):
        """Tell all linked nodes the state of the roll-outs soon."""
        for link in self._links.values():
            link.wake_for_exchange()

    def push(self):
        """Send a change of this node's record to the linked nodes soon."""
        is_change_urgent = self._push is None or is_urgent(
            self._pushed, self._directory.own
        )
        delays = OWN_URGENT_DELAY_MS if is_change_urgent else OWN_DELAY_MS
        loop = asyncio.get_running_loop()
        due_s = loop.time() + random.uniform(*delays) / 1000
        if self._push_timer is not None:
            if due_s >= self._push_timer.when():
                return
            self._push_timer.cancel()
        self._push_timer = loop.call_at(due_s, self._push_now)

    def _push_now(self):
        self._push_timer = None
        own = self._directory.own
        is_change_urgent = is_urgent(self._pushed, own)
        self._pushed = own
        is_sent = self._spread is not None and self._spread.send_own(is_change_urgent)
        for link in self._links.values():
            if is_sent and link.takes_datagrams:
                link.pushed_order = own.order
            else:
                link.send_soon(True)

    def sweep(self, now_ms):
        """Close connections to nodes that have not been used for a while.

        Parameters
        ----------
        now_ms : float
            Current time on the monotonic clock in milliseconds.
        """
        self._connections.sweep(now_ms)

    def answer_exchange(self, body, form):
        """Answer an exchange that another node has begun.

        Parameters
        ----------
        body : bytes
            Encoded message of the other node.
        form : int
            Form of the messages that the other node accepts.

        Returns
        -------
        Reply
            Encoded message of this node; bad request if the body can't be decoded.
        """
        try:
            message = decode_message(body)
        except CodecError as error:
            _LOG.warning("peer message rejected", why=str(error))
            return Reply(STATUS_BAD_REQUEST)
        self._process_message(message, self._find_link(message.node_id))
        link = self._find_link(message.node_id)
        if form == FORM_FIRST or link is None:
            reply = self._make_message(message.node_id, None, message.known_order)
        else:
            reply = self._make_message(message.node_id, link)
            # If the reply is lost, the other node repeats the exchange and states which
            # record it has; digests show what else was in the reply.
            link.acknowledged_order = self._directory.own.order
        return Reply(body=encode_message(reply, form))

    def _answer_datagram(self, values):
        """Return the encoded answer to a message, None if it does not fit.

        Records of other nodes are sent on their own.
        """
        message = parse_message(values)
        self._process_message(message, self._find_link(message.node_id))
        if message.node_id in self._previous_records:
            return None
        reply = self._make_message(message.node_id, None, message.known_order)
        return encode_message(reply)

    def _find_link(self, node_id):
        record = self._directory.get(node_id)
        return None if record is None else self._links.get(record.peer_address)

    def close(self):
        """Cancel all tasks and close all connections."""
        for link in self._links.values():
            link.task.cancel()
        self._connections.close()
