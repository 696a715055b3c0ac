"""A seeded simulation of the limits of tenants, in virtual time and without network.

The gates, the exchange of state and the directories are the product's own; the callers
and the datagrams are modelled. Callers repeat a call that was refused with 503, as it
was not run, but not one that was refused with 429.

``python -m gentianlink.testing.quota_model`` prints the cost at the size of Adwoa.
"""

import asyncio
import bisect
import collections
import logging
import random
import time

import attrs
import orjson
import structlog
import typer

from gentianlink.core.bounds import Bounds
from gentianlink.core.reason import Reason
from gentianlink.core.tenant import Tenant
from gentianlink.node.background import start_task
from gentianlink.sidecar.call_metrics import CallMetrics
from gentianlink.sidecar.tenants.held_tokens import AHEAD_MS, MIN_CALLS_PER_LEASE
from gentianlink.sidecar.tenants.owner_window import PROFILE_STEPS, Profile
from gentianlink.sidecar.tenants.quota_gate import QuotaGate
from gentianlink.sidecar.tenants.quota_message import (
    Answer,
    Ask,
    Probe,
    Settle,
    State,
    encode_message,
)
from gentianlink.sidecar.tenants.quota_owner import (
    LEASE_MS,
    SPREAD_PERIOD_MS,
    STATE_PERIOD_MS,
)
from gentianlink.sidecar.tenants.reach_prober import PROBE_MS
from gentianlink.testing.membership_model import (
    get_name,
    make_address,
    run_fleet,
)
from gentianlink.testing.virtual_loop import get_virtual_ms

BOUNDS = Bounds(quota_overage=0.1, quota_slack=20.0)
DATA_CENTRES = 5
# Delay of a datagram, and shares of those that are lost and that arrive twice.
DELAY_S = (0.0003, 0.0015)
LOSS = 0.01
REPEATED = 0.01
REPEAT_DELAY_S = 0.05
# Bytes of the IP and UDP headers of a datagram.
HEADER_BYTES = 28
# Callers give up a call that is refused with 503 after this time.
PATIENCE_S = 2.0
# Load of Adwoa.
CALLS_PER_S = 1541.0
TENANTS = 86
ZIPF_EXPONENT = 1.2
LIMIT_FACTOR = 1.6
NODES = 88


@attrs.define
class Result:
    """What became of the calls of one tenant.

    Attributes
    ----------
    run_ms : list of float
        Times at which calls were admitted, in order.
    refused_ms : list of float
        Times at which calls were refused with 429.
    given_up_ms : list of float
        Times at which calls were given up after refusals with 503.
    """

    run_ms: list[float] = attrs.Factory(list)
    refused_ms: list[float] = attrs.Factory(list)
    given_up_ms: list[float] = attrs.Factory(list)

    @property
    def lost_share(self):
        """Share of the calls that were not admitted."""
        lost = len(self.refused_ms) + len(self.given_up_ms)
        return lost / max(1, lost + len(self.run_ms))

    def count_most(self, window_ms):
        """Return the most calls admitted in any window."""
        times = self.run_ms
        return max(
            (
                index + 1 - bisect.bisect_right(times, at_ms - window_ms)
                for index, at_ms in enumerate(times)
            ),
            default=0,
        )


class ModelDatagrams:
    """Datagram endpoint of one node.

    Parameters
    ----------
    world : QuotaWorld
        The nodes.
    name : str
        Name of the node.
    """

    def __init__(self, world, name):
        self._world = world
        self._name = name
        self.handler = None

    def register(self, kind, handler):
        """Register the handler of the only kind."""
        self.handler = handler

    def send(self, address, kind, message):
        """Deliver a message later, twice, or never."""
        data = orjson.dumps([kind, message])
        world = self._world
        world.datagrams += 1
        world.datagram_bytes += len(data) + HEADER_BYTES
        world.most_bytes = max(world.most_bytes, len(data))
        loop = asyncio.get_running_loop()
        if random.random() >= world.loss:
            loop.call_later(random.uniform(*DELAY_S), self._deliver, address, data)
        if random.random() < world.repeated:
            delay_s = random.uniform(0, REPEAT_DELAY_S)
            loop.call_later(delay_s, self._deliver, address, data)

    def _deliver(self, address, data):
        name = get_name(address)
        if self._world.is_connected(self._name, name):
            self._world.datagrams_by_name[name].handler(
                orjson.loads(data)[1], make_address(self._name)
            )


class QuotaWorld:
    """Gates of all nodes of a fleet, and the callers.

    Parameters
    ----------
    fleet : ModelFleet
        The nodes.
    tenants : list of Tenant
        Tenants of the first catalogue version.
    """

    def __init__(self, fleet, tenants):
        self.fleet = fleet
        self.loss = LOSS
        self.repeated = REPEATED
        self.datagrams = 0
        self.datagram_bytes = 0
        self.most_bytes = 0
        self.tenants = {tenant.name: tenant for tenant in tenants}
        # Catalogue of each node.
        self.catalogues = {name: dict(self.tenants) for name in fleet.nodes}
        self.gates = {}
        self.datagrams_by_name = {}
        self.results = collections.defaultdict(Result)
        self._sweeps = {}
        self._calls = set()
        for name in fleet.nodes:
            self._open(name)

    def _open(self, name):
        node = self.fleet.nodes[name]
        datagrams = self.datagrams_by_name[name] = ModelDatagrams(self, name)

        def note_silent(record):
            node.directory.note_lost(record.node_id, "silent", get_virtual_ms())
            node.exchange.probe(record)

        self.gates[name] = gate = QuotaGate(
            node.directory,
            datagrams,
            lambda tenant: self.catalogues[name].get(tenant),
            BOUNDS,
            lambda: node.directory.count > 1,
            note_silent,
            node.exchange.probe,
            CallMetrics(),
            get_virtual_ms,
        )
        self._sweeps[name] = start_task(gate.run(), "gate")

    def kill(self, number):
        """End a node's process."""
        name = f"node-{number}"
        self.fleet.kill(number)
        self._sweeps[name].cancel()

    def restart(self, number, incarnation=2, is_row_read=True):
        """Start a node's process with empty memory."""
        self.fleet.restart(number, incarnation, is_row_read)
        self._open(f"node-{number}")

    def cut(self, side):
        """Cut the data centres of one side off from the others; heal if it is empty."""
        others = set(range(DATA_CENTRES)) - set(side)
        self.fleet.cut = {
            frozenset({f"dc-{a}", f"dc-{b}"}) for a in side for b in others
        }

    def is_connected(self, sender, receiver):
        """Return whether a datagram would arrive."""
        if sender in self.fleet.dead or receiver in self.fleet.dead:
            return False
        nodes = self.fleet.nodes
        ends = {nodes[name].directory.own.data_centre for name in (sender, receiver)}
        return frozenset(ends) not in self.fleet.cut

    async def call(self, choose, tenant):
        """Send one call, and repeat it while it is refused with 503."""
        result = self.results[tenant]
        began_ms = get_virtual_ms()
        while True:
            name = choose()
            if name in self.fleet.dead:
                name = random.choice(self.fleet.live_nodes).directory.own.node_id
            gate = self.gates[name]
            row = self.catalogues[name][tenant]
            refusal = await gate.take(row, get_virtual_ms())
            now_ms = get_virtual_ms()
            if refusal is None:
                if name not in self.fleet.dead:
                    result.run_ms.append(now_ms)
                return
            if refusal.reason is Reason.QUOTA_EXCEEDED:
                result.refused_ms.append(now_ms)
                return
            if now_ms - began_ms > PATIENCE_S * 1000:
                result.given_up_ms.append(now_ms)
                return
            await asyncio.sleep(refusal.retry_after_ms / 1000)

    async def send(self, tenant, per_s, duration_s, choose):
        """Send calls of a tenant at even distances with jitter.

        Parameters
        ----------
        tenant : str
            Name of the tenant.
        per_s : float
            Calls a second.
        duration_s : float
            Duration in seconds.
        choose : callable
            Returns the name of the node for each call.
        """
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        for number in range(int(per_s * duration_s)):
            at_s = began_s + (number + random.random()) / per_s
            await asyncio.sleep(max(0.0, at_s - loop.time()))
            task = start_task(self.call(choose, tenant), "call")
            self._calls.add(task)
            task.add_done_callback(self._calls.discard)

    def choose_any(self):
        """Choose any node."""
        return f"node-{random.randrange(len(self.fleet.nodes))}"

    async def close(self):
        """Wait for calls in flight, then stop all gates."""
        if self._calls:
            await asyncio.wait(self._calls)
        for task in self._sweeps.values():
            task.cancel()


def run_world(scenario, tenants, seed, nodes=NODES):
    """Run a scenario on gates that have run for three seconds and know each other.

    Parameters
    ----------
    scenario : callable
        Coroutine function that takes the world.
    tenants : list of Tenant
        Tenants.
    seed : int
        Seed of all random choices.
    nodes : int, optional
        Number of nodes.

    Returns
    -------
    QuotaWorld
        The world after the scenario.
    """

    async def run(fleet):
        world = QuotaWorld(fleet, tenants)
        # A new owner assumes full windows at first.
        await asyncio.sleep(9.0)
        await scenario(world)
        await world.close()
        return world

    return run_fleet(run, nodes, seed, DATA_CENTRES)


def make_adwoa_tenants():
    """Return the tenants of Adwoa, with the calls a second of each."""
    weights = [rank**-ZIPF_EXPONENT for rank in range(1, TENANTS + 1)]
    usual = [CALLS_PER_S * weight / sum(weights) for weight in weights]
    return [
        Tenant(f"tenant-{n}", (), None, LIMIT_FACTOR * per_s, LIMIT_FACTOR * per_s)
        for n, per_s in enumerate(usual)
    ], usual


def compute_traffic(nodes, tenants, calls_per_s):
    """Compute the datagrams and bytes that a node sends a second with even demand.

    Parameters
    ----------
    nodes : int
        Number of nodes.
    tenants : int
        Number of tenants, whose sizes follow a Zipf distribution.
    calls_per_s : float
        Calls a second of all tenants together.

    Returns
    -------
    datagrams : float
        Datagrams that a node sends a second, as holder and as owner.
    octets : float
        Their bytes, with the headers of IP and UDP.
    """
    name, number = f"tenant-{tenants}", 1_000_000
    request = _measure_bytes(Ask(number, name, 1))
    answer = _measure_bytes(Answer(number, 1, 0))
    counts = (1000.0,) * PROFILE_STEPS
    state = _measure_bytes(State(name, Profile(name, 0.0, 1.0, counts, 550.0)))
    batch = _measure_bytes(Ask(number, name, 1, 10), Settle(number, 1, 100))
    probe = _measure_bytes(Probe())
    weights = [rank**-ZIPF_EXPONENT for rank in range(1, tenants + 1)]
    total = sum(weights)
    datagrams, octets = 2 * 1000 / PROBE_MS, 2 * 1000 / PROBE_MS * probe
    for weight in weights:
        per_s = calls_per_s * weight / total / nodes
        asks = per_s
        sizes = request + answer
        if per_s * LEASE_MS / 1000 >= MIN_CALLS_PER_LEASE:
            asks, sizes = 1000 / AHEAD_MS, batch + answer
        datagrams += 2 * asks + 1000 / STATE_PERIOD_MS / nodes
        spread = min(asks * nodes, 1000 / SPREAD_PERIOD_MS) / nodes
        octets += asks * sizes
        octets += (1000 / STATE_PERIOD_MS / nodes + spread) * state
    return datagrams, octets


def _measure_bytes(*messages):
    fields = [encode_message(message, 0.0) for message in messages]
    return len(orjson.dumps(["q", fields])) + HEADER_BYTES


def measure_cost(duration_s, seed):
    """Return datagrams and bytes a second and node, and time a call in microseconds."""
    tenants, usual = make_adwoa_tenants()
    cost = {}

    async def scenario(world):
        before = world.datagrams, world.datagram_bytes, time.process_time()
        await asyncio.gather(
            *(
                world.send(tenant.name, per_s, duration_s, world.choose_any)
                for tenant, per_s in zip(tenants, usual, strict=True)
            )
        )
        cost["datagrams"] = (world.datagrams - before[0]) / duration_s / NODES
        cost["bytes"] = (world.datagram_bytes - before[1]) / duration_s / NODES
        cost["cpu_s"] = time.process_time() - before[2]

    world = run_world(scenario, tenants, seed)
    calls = sum(len(result.run_ms) for result in world.results.values())
    lost = sum(len(result.refused_ms) for result in world.results.values())
    return cost["datagrams"], cost["bytes"], cost["cpu_s"] / calls * 1e6, calls, lost


def main(duration_s: float = 10.0, seed: int = 1):
    """Print the cost of the limits at Adwoa's size."""
    logs = structlog.make_filtering_bound_logger(logging.CRITICAL)
    structlog.configure(wrapper_class=logs)
    datagrams, octets, call_us, calls, lost = measure_cost(duration_s, seed)
    print(f"calls {calls}, refused {lost}")
    print(f"datagrams sent a second and node {datagrams:.1f}")
    print(f"bytes sent a second and node, with IP and UDP headers {octets:.0f}")
    print(f"CPU time a call with the model, microseconds {call_us:.0f}")
    for size in ((NODES, TENANTS, CALLS_PER_S), (4726, 10_000, 320_000.0)):
        datagrams, octets = compute_traffic(*size)
        print(f"computed for {size}: {datagrams:.1f} datagrams, {octets:.0f} bytes")


if __name__ == "__main__":
    typer.run(main)
