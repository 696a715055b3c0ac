"""A seeded simulation of the exchange of state, in virtual time and without network.

The exchange, the directory and the endpoint are the product's own.

``python -m gentianlink.testing.membership_model`` prints for some numbers of nodes how
long changes take to reach all nodes, and how many messages that costs.
"""

import asyncio
import logging
import random
import types
from unittest import mock

import orjson
import structlog
import typer

from gentianlink.core.errors import PlatformOutcomeUnknown, PlatformUnavailable
from gentianlink.platform.service_answer import ServiceAnswer
from gentianlink.sidecar.datagrams.datagram_endpoint import (
    MAX_DATAGRAM_BYTES,
    encode_datagram,
)
from gentianlink.sidecar.exchange import peer_exchange, record_push
from gentianlink.sidecar.exchange.datagram_requests import ANSWER
from gentianlink.sidecar.exchange.peer_connections import TIMEOUT_MS
from gentianlink.sidecar.exchange.peer_endpoint import make_peer_handler
from gentianlink.sidecar.exchange.peer_exchange import PeerExchange
from gentianlink.sidecar.exchange.record_push import ACKNOWLEDGEMENT
from gentianlink.sidecar.peer_directory import PeerDirectory
from gentianlink.sidecar.peer_record import PeerRecord
from gentianlink.sidecar.routing.load_view import LoadView
from gentianlink.sidecar.target_load import TargetLoad
from gentianlink.testing.virtual_loop import get_virtual_ms, run_virtual

PORT = 7620
DELAY_S = 0.001
REST_S = 12.0
SAMPLE_S = 0.01
SIZES = (11, 48, 89, 195)
DATA_CENTRES = 5


def make_address(name):
    """Return the address of a node."""
    return f"{name}:{PORT}"


def get_name(address):
    """Return the name of the node with an address."""
    return address.partition(":")[0]


class ModelNode:
    """A node's membership; it has no calls and no target.

    Parameters
    ----------
    fleet : ModelFleet
        The nodes.
    number : int
        Number of the node.
    incarnation : int
        Incarnation of its process.
    """

    def __init__(self, fleet, number, incarnation):
        name = f"node-{number}"
        data_centre = f"dc-{number % fleet.data_centres}"
        address = make_address(name)
        record = PeerRecord(name, incarnation, 0, data_centre, address, address)
        # Called with each record that the node stores.
        self.on_reports = lambda record: None
        self.directory = PeerDirectory(record, lambda record: self.on_reports(record))
        self.version = 0
        self.datagrams = ModelDatagrams(fleet, name)
        self.exchange = PeerExchange(
            self.directory,
            LoadView(),
            TargetLoad,
            lambda: self.version,
            lambda previous: None,
            ModelConnections(fleet, name),
            datagrams=self.datagrams,
        )
        holder = types.SimpleNamespace()
        self.handle = make_peer_handler(self.exchange, holder, None, None, incarnation)


class ModelConnections:
    """Connections of one node to all others.

    Parameters
    ----------
    fleet : ModelFleet
        The nodes.
    own_name : str
        Name of the node.
    """

    def __init__(self, fleet, own_name):
        self._fleet = fleet
        self._own_name = own_name

    def get(self, address):
        """Return an object that sends requests to a node."""
        name = get_name(address)

        async def send(method, path, body=None, timeout_ms=TIMEOUT_MS):
            return await self._fleet.send(self._own_name, name, method, path, body)

        return types.SimpleNamespace(send=send)

    def close(self):
        """Close nothing."""


class ModelDatagrams:
    """Datagrams of one node.

    Parameters
    ----------
    fleet : ModelFleet
        The nodes.
    own_name : str
        Name of the node.
    """

    def __init__(self, fleet, own_name):
        self._fleet = fleet
        self._own_name = own_name
        self._handlers = {}
        fleet.datagrams[own_name] = self

    def register(self, kind, handler):
        """Register the handler of a kind of message."""
        self._handlers[kind] = handler

    def send(self, address, kind, message):
        """Send a message; it may be lost."""
        self.send_data(address, encode_datagram(kind, message))

    def send_data(self, address, data):
        """Send an encoded message; it may be lost."""
        assert len(data) <= MAX_DATAGRAM_BYTES
        self._fleet.send_datagram(self._own_name, get_name(address), data)

    def receive(self, data, sender):
        """Give a message to its handler."""
        kind, message = orjson.loads(data)
        handler = self._handlers.get(kind)
        if handler is not None:
            handler(message, sender)

    def close(self):
        """Ignore all messages, like a node of an earlier release."""
        self._handlers.clear()


class ModelFleet:
    """All nodes, and the network between them.

    Parameters
    ----------
    count : int
        Number of nodes.
    data_centres : int, optional
        Number of data centres.
    """

    def __init__(self, count, data_centres=DATA_CENTRES):
        self.data_centres = data_centres
        self.datagrams = {}
        self.datagram_loss = 0.0
        self.nodes = {f"node-{n}": ModelNode(self, n, 1) for n in range(count)}
        self.dead = set()
        # Pairs of data centres between which nothing arrives.
        self.cut = set()
        self.messages = 0
        self.messages_to_dead = 0

    @property
    def live_nodes(self):
        """Nodes whose processes run."""
        return [node for name, node in self.nodes.items() if name not in self.dead]

    def start(self):
        """Let each node read the rows of all others."""
        records = [node.directory.own for node in self.nodes.values()]
        for node in self.nodes.values():
            for record in records:
                node.exchange.learn(record)

    def restart(self, number, incarnation, is_row_read=True):
        """Replace a node by one that has just started.

        Parameters
        ----------
        number : int
            Number of the node.
        incarnation : int
            Incarnation of the new process.
        is_row_read : bool, optional
            Whether the new process reads the rows of the others.
        """
        name = f"node-{number}"
        node = ModelNode(self, number, incarnation)
        self.nodes[name] = node
        self.dead.discard(name)
        if is_row_read:
            for other in self.nodes.values():
                node.exchange.learn(other.directory.own)

    def kill(self, number):
        """End a node's process; connections to it are refused."""
        name = f"node-{number}"
        self.dead.add(name)
        self.nodes[name].exchange.close()

    async def send(self, sender, receiver, method, path, body):
        """Deliver a request and return its answer."""
        self.messages += 1
        await asyncio.sleep(DELAY_S)
        if receiver in self.dead:
            self.messages_to_dead += 1
            raise PlatformUnavailable("no connection")
        ends = {self._get_data_centre(sender), self._get_data_centre(receiver)}
        if frozenset(ends) in self.cut:
            await asyncio.sleep(TIMEOUT_MS / 1000)
            raise PlatformOutcomeUnknown("timed out")
        reply = self.nodes[receiver].handle(method, path, body)
        await asyncio.sleep(DELAY_S)
        return ServiceAnswer(reply.status, reply.body, {})

    def send_datagram(self, sender, receiver, data):
        """Deliver a datagram unless it is lost."""
        # A message and its answer count once, as over HTTP.
        kind, _ = orjson.loads(data)
        self.messages += kind not in (ANSWER, ACKNOWLEDGEMENT)
        ends = {self._get_data_centre(sender), self._get_data_centre(receiver)}
        if frozenset(ends) in self.cut or random.random() < self.datagram_loss:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(DELAY_S, self._receive_datagram, sender, receiver, data)

    def _receive_datagram(self, sender, receiver, data):
        if receiver in self.dead:
            self.messages_to_dead += 1
        elif sender not in self.dead:
            self.datagrams[receiver].receive(data, make_address(sender))

    def _get_data_centre(self, name):
        return self.nodes[name].directory.own.data_centre

    async def wait_until(self, is_true, limit_s=60.0):
        """Return the seconds until a function of a node is true for all live nodes."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        while not all(is_true(node) for node in self.live_nodes):
            if loop.time() - started_s > limit_s:
                raise TimeoutError
            await asyncio.sleep(SAMPLE_S)
        return loop.time() - started_s

    def close(self):
        """Stop all nodes."""
        for node in self.live_nodes:
            node.exchange.close()


def run_fleet(scenario, count, seed, data_centres=DATA_CENTRES):
    """Run a scenario on a fleet that is at rest.

    Parameters
    ----------
    scenario : callable
        Coroutine function that takes the fleet.
    count : int
        Number of nodes.
    seed : int
        Seed of all jitter.
    data_centres : int, optional
        Number of data centres.

    Returns
    -------
    object
        Result of the scenario.
    """

    async def run():
        fleet = ModelFleet(count, data_centres)
        fleet.start()
        await asyncio.sleep(REST_S)
        try:
            return await scenario(fleet)
        finally:
            fleet.close()

    random.seed(seed)
    with (
        mock.patch.object(peer_exchange, "get_monotonic_ms", get_virtual_ms),
        mock.patch.object(record_push, "get_monotonic_ms", get_virtual_ms),
    ):
        return run_virtual(run())


async def measure_rest(fleet):
    """Return the messages of a node and second at rest."""
    fleet.messages = 0
    await asyncio.sleep(REST_S)
    return fleet.messages / len(fleet.nodes) / REST_S


async def measure_change(fleet):
    """Return the seconds until all nodes know a change, and its messages a node."""
    at_rest = await measure_rest(fleet)
    fleet.messages = 0
    node = fleet.nodes["node-0"]
    node.directory.update_own(is_stopping=True)
    node.exchange.push()
    elapsed_s = await fleet.wait_until(
        lambda item: (
            item is node
            or item.directory.get("node-0").order == node.directory.own.order
        )
    )
    await asyncio.sleep(1.0)
    count = len(fleet.nodes)
    return elapsed_s, fleet.messages / count - at_rest * (elapsed_s + 1.0)


async def measure_loss(fleet):
    """Return the seconds until all nodes know that one was killed."""
    fleet.kill(0)
    return await fleet.wait_until(lambda item: item.directory.is_lost("node-0"))


async def measure_restart(fleet):
    """Return seconds and messages a node until all were killed and know each other."""
    count = len(fleet.nodes)
    for number in range(count):
        fleet.kill(number)
    fleet.messages = 0
    for number in range(count):
        fleet.restart(number, 2, is_row_read=True)
        await asyncio.sleep(0.3 / count)
    orders = {name: node.directory.own.order for name, node in fleet.nodes.items()}

    def knows_all(node):
        return all(
            name == node.directory.own.node_id
            or (
                node.directory.get(name) is not None
                and node.directory.get(name).order == order
            )
            for name, order in orders.items()
        )

    elapsed_s = await fleet.wait_until(knows_all)
    return elapsed_s, fleet.messages / count


def main(seed: int = 1):
    """Print times and messages for some numbers of nodes."""
    level = logging.ERROR
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(level))
    for count in SIZES:
        rest = run_fleet(measure_rest, count, seed)
        change_s, change = run_fleet(measure_change, count, seed)
        loss_s = run_fleet(measure_loss, count, seed)
        restart_s, restart = run_fleet(measure_restart, count, seed)
        print(
            f"{count} nodes: {rest:.2f} messages a node and s at rest; "
            f"a change {change_s:.2f} s, {change:.1f} messages a node; "
            f"a loss {loss_s:.2f} s; "
            f"restart of all {restart_s:.2f} s, {restart:.0f} messages a node",
            flush=True,
        )


if __name__ == "__main__":
    typer.run(main)
