"""Processor time of the state exchange in fleets of several sizes, in one process.

The exchange, the directory, the servers, the connections and the logs are the product's
own, over loopback; there are no calls and no table service.

``python -m gentianlink.testing.exchange_cost`` prints for some numbers of nodes what a
change of a record costs each node, what a node costs at rest, and how the time of
changes is split by cause.
"""

import asyncio
import collections
import itertools
import os
import random
import sys
import time

import attrs
import typer
import uvloop

from gentianlink.core.target_state import TargetState
from gentianlink.node.clock import get_monotonic_ms, get_now_ms
from gentianlink.sidecar.call_metrics import CallMetrics
from gentianlink.sidecar.crash_guard import CrashGuard
from gentianlink.sidecar.datagrams.datagram_endpoint import DatagramEndpoint
from gentianlink.sidecar.endpoints_server import serve_endpoint
from gentianlink.sidecar.exchange.peer_endpoint import make_peer_handler
from gentianlink.sidecar.exchange.peer_exchange import PeerExchange
from gentianlink.sidecar.line_limiter import LineLimiter
from gentianlink.sidecar.line_writer import LineWriter
from gentianlink.sidecar.log import configure_logs
from gentianlink.sidecar.peer_directory import PeerDirectory
from gentianlink.sidecar.peer_record import PeerRecord
from gentianlink.sidecar.routing.load_view import LoadView
from gentianlink.sidecar.target_info import TargetInfo
from gentianlink.sidecar.target_load import TargetLoad
from gentianlink.testing.loopback import get_own_address, get_ports

SIZES = "11,40,89,160"
DATA_CENTRES = 4
SERVICES = 3
SLOTS = 5
SETTLE_S = 8.0
# Changes one after the other are further apart than the gap after an exchange, so that
# none of them is sent with the one before.
SPACING_S = 0.25
# All nodes know a change after this time, and its acknowledgements have arrived.
SPREAD_S = 1.5
# Nodes whose records change at once; changes of all of 160 would keep the one process
# busy for longer than the time-outs of the exchange.
AT_ONCE = 20
CHANGES_OF_A_TURN = 8
LOOKUPS = 300
# Causes by the end of the file's path and the name of the function; "" for any name.
# The first match counts. A function without a cause counts to its caller's.
CAUSES = [
    ("peer_directory.py", "_log_change", "logging"),
    ("peer_directory.py", "", "directory"),
    ("node/log.py", "", "logging"),
    ("/structlog/", "", "logging"),
    ("line_writer.py", "", "logging"),
    ("sidecar/log.py", "", "logging"),
    ("peer_codec.py", "", "encoding, decoding, type checks"),
    ("record_digest.py", "", "digests"),
    ("overlay.py", "", "link choice"),
    ("crash_guard.py", "", "on_record callbacks"),
    ("service_connections.py", "", "HTTP client"),
    ("peer_connections.py", "", "HTTP client"),
    ("endpoints_server.py", "", "HTTP server"),
    ("tornado/httpserver.py", "", "HTTP server"),
    ("tornado/http1connection.py", "_server_request_loop", "HTTP server"),
    ("tornado/iostream.py", "_handle_events", "HTTP sockets"),
    ("datagram_endpoint.py", "", "datagrams"),
    ("exchange_cost.py", "", "this measurement"),
    ("peer_exchange.py", "", "exchange"),
    ("peer_link.py", "", "exchange"),
    ("record_push.py", "", "exchange"),
    ("record_spread.py", "", "exchange"),
    ("datagram_requests.py", "", "exchange"),
]
OUTSIDE = "event loop, kernel"


@attrs.define
class Costs:
    """What one number of nodes costs.

    Attributes
    ----------
    single_ms : float
        Processor time of a change and node, changes one after the other.
    many_ms : float
        The same if many records change at once.
    rest_ms : float
        Processor time of a node and second without changes.
    messages : float
        Messages that a node sends for a single change, requests and replies alike.
    spread_ms : float
        Longest time until all nodes knew a single change.
    cached_us, rebuilt_us : float
        Time of a look-up of the targets of a service, and of the first one after
        a change of a record.
    """

    single_ms: float = 0.0
    many_ms: float = 0.0
    rest_ms: float = 0.0
    messages: float = 0.0
    spread_ms: float = 0.0
    cached_us: float = 0.0
    rebuilt_us: float = 0.0


class UnlimitedLines(LineLimiter):
    """Admits all lines, because the nodes of a measurement share one limit."""

    def admit(self, kind, now_ms):
        """Write the line."""
        return 0


class CauseProfiler:
    """Splits the time of Python functions by cause."""

    def __init__(self):
        self._causes = {}
        self._stack = []
        self._last_s = 0.0
        self.seconds = collections.Counter()

    def start(self):
        """Begin to count."""
        self._last_s = time.process_time()
        sys.setprofile(self._note)

    def stop(self):
        """End the count."""
        sys.setprofile(None)

    def _note(self, frame, event, argument):
        if event not in ("call", "return"):
            return
        now_s = time.process_time()
        current = self._stack[-1] if self._stack else OUTSIDE
        self.seconds[current] += now_s - self._last_s
        if event == "call":
            self._stack.append(self._find_cause(frame.f_code) or current)
        elif self._stack:
            self._stack.pop()
        # The time of this function itself is left out.
        self._last_s = time.process_time()

    def _find_cause(self, code):
        if code not in self._causes:
            self._causes[code] = next(
                (
                    cause
                    for path, name, cause in CAUSES
                    if path in code.co_filename and name in ("", code.co_name)
                ),
                None,
            )
        return self._causes[code]


class CountedDatagrams(DatagramEndpoint):
    """Counts the datagrams that a node sends.

    Parameters
    ----------
    node : CostNode
        The node.
    """

    def __init__(self, node):
        super().__init__()
        self._node = node

    def send_data(self, address, data):
        """Send an encoded message."""
        self._node.messages += 1
        super().send_data(address, data)


class CostNode:
    """Membership of one node with its sockets; it has no calls and no target.

    Parameters
    ----------
    number : int
        Number of the node.
    address : str
        IP address and port for the state exchange.
    """

    def __init__(self, number, address):
        self.address = address
        name = f"dc{number % DATA_CENTRES}-node-{number}"
        target = TargetInfo(
            f"target-{number}",
            f"service-{number % SERVICES}",
            SLOTS,
            TargetState.READY,
            get_now_ms(),
            1,
            version="2026-11-03",
        )
        record = PeerRecord(
            name,
            get_now_ms(),
            0,
            f"dc-{number % DATA_CENTRES}",
            address,
            address,
            10.0,
            target=target,
        )
        guard = CrashGuard(lambda: None, lambda request: None, CallMetrics())
        self.directory = PeerDirectory(record, guard.learn_reports)
        self.load_view = LoadView()
        self.messages = 0
        self._datagrams = CountedDatagrams(self)
        self.exchange = PeerExchange(
            self.directory,
            self.load_view,
            TargetLoad,
            lambda: 1,
            lambda previous: None,
            datagrams=self._datagrams,
        )
        handle = make_peer_handler(self.exchange, None, None, None, record.incarnation)

        def count_and_handle(method, path, body):
            # A request and its reply.
            self.messages += 2
            return handle(method, path, body)

        self._server = serve_endpoint(address, count_and_handle)

    async def open(self):
        """Open the socket for datagrams."""
        await self._datagrams.open(self.address)

    def change(self, number, is_urgent):
        """Change the node's record and tell the other nodes."""
        target = self.directory.own.target
        if is_urgent:
            is_ready = target.state is TargetState.READY
            state = TargetState.DRAINING if is_ready else TargetState.READY
            target = attrs.evolve(target, state=state)
        else:
            target = attrs.evolve(target, work_ms=(("route", 40 + number),))
        self.directory.update_own(target=target)
        self.exchange.push()

    def knows(self, record):
        """Return whether this node has another one's record, or a newer one."""
        known = self.directory.get(record.node_id)
        own = self.directory.own
        return record.node_id == own.node_id or known.order >= record.order

    async def close(self):
        """Close all sockets."""
        self.exchange.close()
        self._datagrams.close()
        self._server.stop()
        await self._server.close_all_connections()


class CostFleet:
    """All nodes of a measurement.

    Parameters
    ----------
    count : int
        Number of nodes.
    """

    def __init__(self, count):
        host = get_own_address(1)
        addresses = [f"{host}:{port}" for port in get_ports(count)]
        self.nodes = [CostNode(n, address) for n, address in enumerate(addresses)]
        self._numbers = itertools.count(1)

    async def start(self):
        """Let each node learn the records of all others, and wait until they rest."""
        for node in self.nodes:
            await node.open()
        records = [node.directory.own for node in self.nodes]
        for node in self.nodes:
            for record in records:
                node.exchange.learn(record)
        await asyncio.sleep(SETTLE_S)

    async def rest(self, duration_s):
        """Return the processor time of the process in seconds without changes."""
        started_s = time.process_time()
        await asyncio.sleep(duration_s)
        return time.process_time() - started_s

    async def change_one_by_one(self, changes, is_urgent):
        """Change single records; return the processor time in seconds."""
        started_s = time.process_time()
        for _ in range(changes):
            node = random.choice(self.nodes)
            node.change(next(self._numbers), is_urgent)
            await asyncio.sleep(SPACING_S)
        return time.process_time() - started_s

    async def change_many(self, is_urgent):
        """Change many records at once; return the processor time in seconds."""
        started_s = time.process_time()
        for node in random.sample(self.nodes, min(AT_ONCE, len(self.nodes))):
            node.change(next(self._numbers), is_urgent)
        await asyncio.sleep(SPREAD_S)
        return time.process_time() - started_s

    async def measure_spread_ms(self, is_urgent):
        """Return the time until all nodes know a change."""
        source = random.choice(self.nodes)
        source.change(next(self._numbers), is_urgent)
        started_ms = get_monotonic_ms()
        while not all(node.knows(source.directory.own) for node in self.nodes):
            await asyncio.sleep(0.002)
        return get_monotonic_ms() - started_ms

    def measure_lookups(self):
        """Return the times in microseconds of a look-up, and of one after a change."""
        node = self.nodes[0]
        other = self.nodes[1].directory
        now_ms, wall_ms = get_monotonic_ms(), get_now_ms()
        seconds = []
        for is_changed in (False, True):
            spent_s = 0.0
            for number in range(LOOKUPS):
                if is_changed:
                    target = attrs.evolve(
                        other.own.target, work_ms=(("route", number),)
                    )
                    other.update_own(target=target)
                    node.directory.update_record(other.own, now_ms)
                started_s = time.perf_counter()
                node.directory.get_candidates(
                    "service-1", node.load_view, lambda _: False, now_ms, wall_ms
                )
                spent_s += time.perf_counter() - started_s
            seconds.append(spent_s)
        return tuple(spent_s / LOOKUPS * 1e6 for spent_s in seconds)

    async def close(self):
        """Stop all nodes."""
        for node in self.nodes:
            await node.close()


async def measure(count, changes, is_urgent):
    """Return what a number of nodes costs."""
    fleet = CostFleet(count)
    await fleet.start()
    # Rest and changes take turns, so that other work on the machine affects both alike.
    turns = max(1, changes // CHANGES_OF_A_TURN)
    rest_s = SPACING_S * CHANGES_OF_A_TURN
    rested_s = single_s = 0.0
    messages = 0
    for _ in range(turns):
        rested_s += await fleet.rest(rest_s)
        before = sum(node.messages for node in fleet.nodes)
        single_s += await fleet.change_one_by_one(CHANGES_OF_A_TURN, is_urgent)
        messages += sum(node.messages for node in fleet.nodes) - before
    rest_ms = rested_s * 1000 / count / rest_s / turns
    changes = turns * CHANGES_OF_A_TURN
    rounds = [await fleet.change_many(is_urgent) for _ in range(3)]
    many_ms = min(rounds) * 1000 / count - rest_ms * SPREAD_S
    spread_ms = max([await fleet.measure_spread_ms(is_urgent) for _ in range(8)])
    cached_us, rebuilt_us = fleet.measure_lookups()
    await fleet.close()
    return Costs(
        single_ms=(single_s - rested_s) * 1000 / count / changes,
        many_ms=many_ms / min(AT_ONCE, count),
        rest_ms=rest_ms,
        messages=messages / count / changes,
        spread_ms=spread_ms,
        cached_us=cached_us,
        rebuilt_us=rebuilt_us,
    )


async def split(count, changes, is_urgent):
    """Return the processor time of single changes by cause, as shares of the whole."""
    fleet = CostFleet(count)
    await fleet.start()
    profiler = CauseProfiler()
    profiler.start()
    await fleet.change_one_by_one(changes, is_urgent)
    profiler.stop()
    await fleet.close()
    seconds = profiler.seconds
    return {
        cause: spent_s / seconds.total() for cause, spent_s in seconds.most_common()
    }


def main(
    sizes: str = SIZES,
    changes: int = 48,
    urgent: bool = False,
    causes: bool = True,
    seed: int = 1,
):
    """Print the costs for some numbers of nodes, and their causes."""
    configure_logs(LineWriter(os.open(os.devnull, os.O_WRONLY)), UnlimitedLines(), "n")
    random.seed(seed)
    for count in map(int, sizes.split(",")):
        costs = uvloop.run(measure(count, changes, urgent))
        print(
            f"{count} nodes: a change {costs.single_ms:.3f} ms a node, "
            f"of many at once {costs.many_ms:.3f}; rest {costs.rest_ms:.2f} ms a node "
            f"and s; {costs.messages:.1f} messages a node and change with those at "
            f"rest; known everywhere in {costs.spread_ms:.0f} ms; candidates "
            f"{costs.cached_us:.0f} us, after a change {costs.rebuilt_us:.0f} us",
            flush=True,
        )
        if causes:
            for cause, share in uvloop.run(split(count, changes, urgent)).items():
                print(f"  {share:6.1%} {cause}", flush=True)


if __name__ == "__main__":
    typer.run(main)
