"""Compare queue disciplines of a gate under load, with one gate and no network.

Run with ``python -m gentianlink.testing.queue_experiment``. All cases run at the same
time in one process, with the same arrivals.
"""

import asyncio
import random

import attrs

from gentianlink.node.clock import get_monotonic_ms
from gentianlink.node.proxy.gate import Gate
from gentianlink.node.proxy.queue_order import (
    pick_earliest_deadline,
    pick_newest,
    pick_oldest,
)

SLOTS = 10
WORK_MS = 50
LOADS = (0.8, 1.0, 2.0, 5.0)
DEADLINES_MS = (100, 800)
DURATION_S = 6.0
QUEUE_LIMIT = 1000
MS_PER_S = 1000


class UnboundedGate(Gate):
    """Gate whose queue is unbounded, so that calls wait until their deadline."""

    def _has_room(self, queue_limit, waiter, now_ms):
        return True


@attrs.define
class Result:
    """Counts and queueing times of one case."""

    offered: int = 0
    good: int = 0
    late: int = 0
    refused: int = 0
    waits_ms: list = attrs.field(factory=list)


ORDERS = {
    "unbounded, oldest": lambda: UnboundedGate(SLOTS),
    "backlog, oldest": lambda: Gate(SLOTS, pick_oldest),
    "backlog, newest": lambda: Gate(SLOTS, pick_newest),
    "backlog, deadline": lambda: Gate(SLOTS, pick_earliest_deadline),
}


async def call(gate, result, deadline_ms, work_ms):
    """Send one call through a gate and count its result."""
    started_ms = get_monotonic_ms()
    refusal = await gate.enter(QUEUE_LIMIT, deadline_ms, started_ms)
    if refusal is not None:
        result.refused += 1
        return
    entered_ms = get_monotonic_ms()
    result.waits_ms.append(entered_ms - started_ms)
    await asyncio.sleep(work_ms / MS_PER_S)
    now_ms = get_monotonic_ms()
    gate.leave(now_ms - entered_ms, now_ms)
    if now_ms <= deadline_ms:
        result.good += 1
    else:
        result.late += 1


async def run_case(gate, load):
    """Offer calls at a multiple of the capacity.

    Parameters
    ----------
    gate : Gate
        Gate under test.
    load : float
        Offered calls as a multiple of the capacity.

    Returns
    -------
    Result
        Counts of calls by result.
    """
    rng = random.Random(1)
    result = Result()
    rate = load * SLOTS * MS_PER_S / WORK_MS
    tasks = set()
    now_s = asyncio.get_running_loop().time
    next_s = now_s()
    end_s = next_s + DURATION_S
    while next_s < end_s:
        next_s += rng.expovariate(rate)
        await asyncio.sleep(next_s - now_s())
        deadline_ms = get_monotonic_ms() + rng.uniform(*DEADLINES_MS)
        work_ms = rng.expovariate(1 / WORK_MS)
        result.offered += 1
        tasks.add(asyncio.create_task(call(gate, result, deadline_ms, work_ms)))
    await asyncio.wait(tasks)
    return result


async def run():
    """Run all cases and print their results."""
    cases = [(name, load) for load in LOADS for name in ORDERS]
    gates = [ORDERS[name]() for name, _ in cases]
    results = await asyncio.gather(
        *(run_case(gate, load) for gate, (_, load) in zip(gates, cases, strict=True))
    )
    capacity = SLOTS * MS_PER_S / WORK_MS * DURATION_S
    print("load  order              goodput  late  refused  wait p99")
    for (name, load), result in zip(cases, results, strict=True):
        waits = sorted(result.waits_ms)
        print(
            f"{load:4}  {name:18} {result.good / capacity:6.2f}"
            f"  {result.late / result.offered:5.2f}"
            f"  {result.refused / result.offered:6.2f}"
            f"  {waits[int(len(waits) * 0.99)]:6.0f} ms"
        )


if __name__ == "__main__":
    asyncio.run(run())
