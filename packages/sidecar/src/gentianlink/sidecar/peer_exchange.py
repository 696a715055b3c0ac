"""Exchange of state (gossip) with other nodes, one task for each of them."""

import asyncio
import random

import orjson

from gentianlink.core.errors import CodecError, PlatformError, PlatformUnavailable
from gentianlink.node.background import start_task
from gentianlink.node.clock import get_monotonic_ms
from gentianlink.node.log import get_logger
from gentianlink.sidecar.endpoints_server import Reply
from gentianlink.sidecar.peer_codec import decode_message, encode_message
from gentianlink.sidecar.peer_directory import FORGET_MS, compute_period_ms
from gentianlink.sidecar.peer_link import PeerLink
from gentianlink.sidecar.peer_message import PeerMessage
from gentianlink.sidecar.status import STATUS_BAD_REQUEST, STATUS_NOT_FOUND, STATUS_OK

_LOG = get_logger("peers")

EXCHANGE_PATH = "/exchange"
RULES_PATH_PREFIX = "/rules/"
FOLLOW_PATH_PREFIX = "/follow/"
# Prefix of these two for deltas with all values; earlier releases do not know it.
RELEASE_PREFIX = "/v2"
FENCE_PATH = "/fence"

# Exponential back-off after exchanges without an answer.
FIRST_BACKOFF_MS = 700.0
BACKOFF_GROWTH = 1.3
MAX_BACKOFF_MS = 5000.0
# Duration of a long poll for a newer version. Its end also shows the follower that the
# reader is alive.
FOLLOW_WAIT_S = 1.0
FOLLOW_TIMEOUT_MS = 1500
# Nodes that are tried, one after another, to fetch a version.
MAX_FETCH_ATTEMPTS = 4
# Jitter before the first exchange, for nodes that start at the same moment.
FIRST_JITTER_S = 0.1
# Changes within this time are sent together.
PUSH_DELAY_MS = 5.0


class PeerExchange:
    """Exchanges records, loads and versions with all other nodes.

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
    """

    def __init__(
        self, directory, load_view, get_own_load, get_version, on_previous_record
    ):
        self._directory = directory
        self._load_view = load_view
        self._get_own_load = get_own_load
        self._get_version = get_version
        self._on_previous_record = on_previous_record
        self._links = {}
        self._is_push_due = False
        self._previous_records = {}

    def add_address(self, address):
        """Start exchanging state with the node at an address.

        Parameters
        ----------
        address : str
            IP address and TCP port of the node for the state exchange.
        """
        if address == self._directory.own.peer_address or address in self._links:
            return
        link = PeerLink(address, get_monotonic_ms())
        self._links[address] = link
        link.task = start_task(self._run_link(link), "peer")

    async def _run_link(self, link):
        # If the other node has begun an exchange during the jitter, this node need not.
        await asyncio.sleep(random.uniform(0.0, FIRST_JITTER_S))
        if link.acknowledged_order == self._directory.own.order:
            await self._wait(link)
        while True:
            link.wake.clear()
            await self._exchange(link)
            if get_monotonic_ms() - link.last_heard_ms >= FORGET_MS:
                del self._links[link.address]
                link.connections.close()
                return
            await self._wait(link)

    async def _wait(self, link):
        try:
            async with asyncio.timeout(self._compute_wait_ms(link) / 1000):
                await link.wake.wait()
        except TimeoutError:
            return

    def _compute_wait_ms(self, link):
        if link.failures:
            growth = BACKOFF_GROWTH ** (link.failures - 1)
            return min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * growth)
        own = self._directory.own
        if link.acknowledged_order != own.order:
            return PUSH_DELAY_MS
        period_ms = compute_period_ms(self._directory.count)
        # The node with the lower address usually begins the exchange of a pair; the
        # other one does so only after twice the period.
        return period_ms if own.peer_address < link.address else 2 * period_ms

    async def _exchange(self, link):
        message = self._make_message(link.node_id, link.acknowledged_order)
        try:
            answer = await link.connections.send(
                "POST", EXCHANGE_PATH, encode_message(message)
            )
            if answer.code != STATUS_OK:
                raise CodecError(f"status {answer.code}")
            reply = decode_message(answer.body)
        except (PlatformError, CodecError) as error:
            link.note_failure()
            if link.node_id:
                self._directory.note_lost(link.node_id, f"exchange: {error}")
            return
        self._process_message(reply, link)

    def _make_message(self, node_id, acknowledged_order, addresses=()):
        own = self._directory.own
        peer_record = self._directory.get(node_id)
        return PeerMessage(
            node_id=own.node_id,
            order=own.order,
            version=self._get_version(),
            load=self._get_own_load(),
            known_order=(0, 0) if peer_record is None else peer_record.order,
            record=None if acknowledged_order == own.order else own,
            previous=self._previous_records.pop(node_id, None),
            addresses=addresses,
        )

    def _process_message(self, message, link):
        """Process a message; return whether its sender is new or has restarted."""
        now_ms = get_monotonic_ms()
        is_new = self._directory.get(message.node_id) is None
        if message.record is not None:
            previous = self._directory.update_record(message.record, now_ms)
            if previous is not None:
                self._previous_records[message.node_id] = previous
                is_new = True
            self.add_address(message.record.peer_address)
            link = link or self._links.get(message.record.peer_address)
        self._directory.note_heard(message.node_id, message.version, now_ms)
        self._load_view.report(message.node_id, message.load, now_ms)
        if link is not None:
            link.note_heard(message.node_id, message.known_order, now_ms)
        if message.previous is not None:
            self._on_previous_record(message.previous)
        for address in message.addresses:
            self.add_address(address)
        return is_new

    def probe(self, address):
        """Begin an exchange with a node soon, because a call to it has failed.

        Parameters
        ----------
        address : str
            IP address and TCP port of the node for the state exchange.
        """
        link = self._links.get(address)
        if link is not None and not link.failures:
            link.wake.set()

    def announce(self, records):
        """Begin an exchange with some nodes, to tell them the version in force.

        Parameters
        ----------
        records : list of PeerRecord
            The nodes.
        """
        for record in records:
            link = self._links.get(record.peer_address)
            if link is not None:
                link.wake.set()

    def push(self):
        """Send a change of this node's record to all nodes soon."""
        if self._is_push_due:
            return
        self._is_push_due = True
        loop = asyncio.get_running_loop()
        loop.call_later(PUSH_DELAY_MS / 1000, self._push_now)

    def _push_now(self):
        self._is_push_due = False
        for link in self._links.values():
            link.wake.set()

    def answer_exchange(self, body):
        """Answer an exchange that another node has begun.

        Parameters
        ----------
        body : bytes
            Encoded message of the other node.

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
        is_new = self._process_message(message, self._find_link(message.node_id))
        addresses = ()
        if is_new:
            others = self._list_others(message.node_id)
            addresses = tuple(item.peer_address for item in others)
        reply = self._make_message(message.node_id, message.known_order, addresses)
        link = self._find_link(message.node_id)
        if link is not None:
            # If the reply is lost, the other node repeats the exchange and states which
            # record it has.
            link.acknowledged_order = self._directory.own.order
        return Reply(body=encode_message(reply))

    def _find_link(self, node_id):
        record = self._directory.get(node_id)
        return None if record is None else self._links.get(record.peer_address)

    def _list_others(self, node_id):
        records = self._directory.get_records()
        return [record for record in records if record.node_id != node_id]

    async def fetch_rules(self, version):
        """Fetch the delta to a version newer than this node's from any node.

        Parameters
        ----------
        version : int
            Version in force at this node.

        Returns
        -------
        bytes or None
            Encoded delta, None if no node returned one.
        """
        holders = self._directory.get_holders(version + 1)
        # If no node is known to have a newer version, one node is asked for it anyway.
        holders = holders or self._directory.get_holders(0)[:1]
        for record in holders[:MAX_FETCH_ATTEMPTS]:
            try:
                delta = await self._request(record, f"{RULES_PATH_PREFIX}{version}")
            except PlatformError as error:
                self._directory.note_lost(record.node_id, f"rules: {error}")
                continue
            if delta:
                return delta
        return None

    async def follow_rules(self, record, version):
        """Long-poll a node for a version newer than this node's.

        Parameters
        ----------
        record : PeerRecord
            The node.
        version : int
            Version in force at this node.

        Returns
        -------
        bytes
            Encoded delta, empty if the long poll ended without a newer version.

        Raises
        ------
        PlatformError
            If the node does not answer or has lost the table service.
        """
        path = f"{FOLLOW_PATH_PREFIX}{version}"
        return await self._request(record, path, FOLLOW_TIMEOUT_MS)

    async def _request(self, record, path, timeout_ms=None):
        link = self._links.get(record.peer_address)
        if link is None:
            raise PlatformUnavailable(f"no link to {record.node_id}")
        answer = await link.connections.send(
            "GET", RELEASE_PREFIX + path, timeout_ms=timeout_ms
        )
        if answer.code == STATUS_NOT_FOUND:
            answer = await link.connections.send("GET", path, timeout_ms=timeout_ms)
        if answer.code != STATUS_OK:
            raise PlatformUnavailable(f"status {answer.code}")
        return answer.body

    async def fence(self, node_id, incarnation, request_id):
        """Ask a node to fence a call: never to send it to its target.

        Parameters
        ----------
        node_id : str
            Name of the node.
        incarnation : int
            Incarnation to which the call was forwarded.
        request_id : str
            Id of the call.

        Returns
        -------
        bool
            True if the call has not been sent to the target and never will be; False if
            this is not certain.
        """
        link = self._find_link(node_id)
        if link is None:
            return False
        body = orjson.dumps({"id": request_id, "incarnation": incarnation})
        try:
            answer = await link.connections.send("POST", FENCE_PATH, body)
        except PlatformError as error:
            _LOG.info("fence unanswered", id=request_id, peer=node_id, why=str(error))
            return False
        return answer.code == STATUS_OK and answer.body == b"true"

    def close(self):
        """Cancel all tasks and close all connections."""
        for link in self._links.values():
            link.task.cancel()
            link.connections.close()
