"""Measure goodput, latency and refusals under load against a naive baseline.

Run with ``python -m gentianlink.testing.overload_experiment [kingston|hcmc]
[faults]``; with ``faults``, the loads without faults are left out. The baseline
bypasses the nodes: it has random choice of a target, an unbounded queue at the target,
and up to two immediate retries, each after a failure or a timeout of half the deadline.
Mesh and baseline get the same arrivals in the same run.
"""

import asyncio
import pathlib
import random
import sys

import attrs
import uvloop

from gentianlink.testing.caller import Caller
from gentianlink.testing.demo import apply_catalogue, has_version, wait_for
from gentianlink.testing.fleet import Fleet
from gentianlink.testing.load import compute_percentile, offer_load

PATH = "/work"
DEADLINE_MS = 800
SECONDS = 4.0
WARM_UP_SECONDS = 5.0
LOADS = (0.5, 1.0, 2.0, 5.0)
MAX_ATTEMPTS = 3
MS_PER_S = 1000
SLOW_FACTOR = 10
CATALOGUE = """\
[service work]
owner = o

[entry work]
owner = o
service = work
class = read
route = /work
deadline_ms = 800
retries = 2
"""


@attrs.frozen
class Shape:
    """Size of the service of one deployment.

    Attributes
    ----------
    targets : int
        Number of targets.
    slots : int
        Slots of each target.
    work_ms : int
        Execution time of one call at a target in milliseconds.
    """

    targets: int
    slots: int
    work_ms: int

    @property
    def capacity(self):
        """Calls per second that all targets together can execute."""
        return self.targets * self.slots * MS_PER_S / self.work_ms


SHAPES = {"kingston": Shape(5, 10, 200), "hcmc": Shape(4, 6, 100)}


class Bench:
    """A running deployment and its callers.

    Parameters
    ----------
    fleet : Fleet
        The deployment.
    """

    def __init__(self, fleet):
        self._fleet = fleet
        self._nodes = [Caller(m.address, m.call_port) for m in fleet.members]
        self._targets = [Caller(m.address, m.target_port) for m in fleet.members]
        self._rng = random.Random(2)
        self._headers = [("X-Gentianlink-Deadline-Ms", DEADLINE_MS)]

    async def send_through_node(self, number, result):
        """Send a call through the next node in turn, without retries."""
        result.requests += 1
        return await self._nodes[number % len(self._nodes)].call(PATH, self._headers)

    async def send_through_node_with_retries(self, number, result):
        """Send a call through a node; retry refusals at once through the next."""
        for attempt in range(MAX_ATTEMPTS):
            answer = await self.send_through_node(number + attempt, result)
            if answer.outcome == "done":
                break
        return answer

    async def send_direct(self, number, result):
        """Send a call to a random target, with immediate retries."""
        timeout_s = DEADLINE_MS / MS_PER_S / 2
        loop = asyncio.get_running_loop()
        end_s = loop.time() + DEADLINE_MS / MS_PER_S
        for _ in range(MAX_ATTEMPTS):
            result.requests += 1
            target = self._rng.choice(self._targets)
            try:
                async with asyncio.timeout(min(timeout_s, end_s - loop.time())):
                    answer = await target.call(PATH)
            except TimeoutError:
                continue
            if answer.status == 200:
                return answer
        return None

    async def set_work_ms(self, work_ms):
        """Change the execution time of calls at the first target."""
        await self._targets[0].call(
            "/stand-in/work-ms", (), "PUT", str(work_ms).encode()
        )

    def close(self):
        """Close all connections."""
        for caller in (*self._nodes, *self._targets):
            caller.close()


def print_result(name, sender, capacity, result):
    """Print one row of the table."""
    good = result.good_ms
    refused = result.refused_ms
    print(
        f"{name:14} {sender:8} {result.goodput / capacity:7.2f}"
        f" {compute_percentile(good, 0.5):6.0f} {compute_percentile(good, 0.99):6.0f}"
        f" {len(refused) / result.calls:8.2f} {compute_percentile(refused, 0.99):7.1f}"
        f" {(result.late + result.other) / result.calls:6.2f}"
        f" {result.requests / result.calls:6.2f}"
        f"  {dict(result.reasons) or ''}",
        flush=True,
    )


async def compare(bench, name, rate, capacity, send=None):
    """Offer the same load through the nodes and to the baseline."""
    through_node = send or bench.send_through_node
    for sender, send_one in (("mesh", through_node), ("baseline", bench.send_direct)):
        result = await offer_load(send_one, rate, SECONDS, DEADLINE_MS)
        print_result(name, sender, capacity, result)
        await asyncio.sleep(DEADLINE_MS / MS_PER_S)


async def measure(fleet, shape):
    """Run the cases and print a row for each."""
    only_faults = "faults" in sys.argv
    members = fleet.members
    await wait_for(members, lambda status: status["ready"])
    path = pathlib.Path(fleet.log_path.parent) / "work.catalogue.ini"
    path.write_text(CATALOGUE)
    apply_catalogue(fleet, path, "load")
    await wait_for(members, has_version(1))
    await wait_for(
        members, lambda status: list(status["endpoints"].values()) == [shape.targets]
    )
    bench = Bench(fleet)
    capacity = shape.capacity
    await offer_load(
        bench.send_through_node, capacity / 4, WARM_UP_SECONDS, DEADLINE_MS
    )
    print(
        "case           sender   goodput    p50    p99  refused ref p99  other  sends"
    )
    for load in () if only_faults else LOADS:
        await compare(bench, f"load {load}", load * capacity, capacity)
    await compare(
        bench,
        "retries 2.0",
        2 * capacity,
        capacity,
        bench.send_through_node_with_retries,
    )
    await bench.set_work_ms(shape.work_ms * SLOW_FACTOR)
    await compare(bench, "one slow 0.7", 0.7 * capacity, capacity)
    await bench.set_work_ms(shape.work_ms)
    await offer_load(
        bench.send_through_node, capacity / 4, WARM_UP_SECONDS, DEADLINE_MS
    )
    killed = -(-shape.targets // 3)
    asyncio.get_running_loop().call_later(1.0, kill_targets, members[-killed:])
    await compare(bench, "third cut 0.5", 0.5 * capacity, capacity)
    bench.close()


def kill_targets(members):
    """Kill the targets of some members."""
    for member in members:
        member.target.kill()


def main():
    """Run the measurement."""
    shape = SHAPES[sys.argv[1] if len(sys.argv) > 1 else "kingston"]
    fleet = Fleet("load")
    try:
        fleet.start_platform()
        for number in range(shape.targets):
            member = fleet.add_member("work", number + 1, number % 3 + 1)
            fleet.start_node(member)
            fleet.start_target(member, shape.slots, shape.work_ms)
        print(f"capacity {shape.capacity:.0f} calls/s, deadline {DEADLINE_MS} ms")
        uvloop.run(measure(fleet, shape))
    finally:
        fleet.stop()


if __name__ == "__main__":
    main()
