"""A seeded simulation of callers at the gate of one target, in virtual time.

The gate is the product's own, not a copy of its rules. The simulation covers the
decisions of this gate only: there is no network and no other node.
"""

import asyncio
import collections
import functools
import random

import attrs

from gentianlink.sidecar.admission.priority_gate import PriorityGate
from gentianlink.sidecar.hop import Hop
from gentianlink.testing.virtual_loop import get_virtual_ms, run_virtual


@attrs.frozen
class LoadKind:
    """One kind of calls.

    Attributes
    ----------
    name : str
        Name of the kind.
    per_s : float
        Calls per second.
    work_ms : float
        Mean work in milliseconds.
    priority : int
        Rank; 0 is the most urgent.
    target_latency_ms : float
        Time in milliseconds within which an answer has its full value.
    deadline_ms : float
        Time in milliseconds that callers wait.
    caller_retries : int
        Number of caller retries after refusals.
    """

    name: str
    per_s: float
    work_ms: float
    priority: int
    target_latency_ms: float
    deadline_ms: float
    caller_retries: int = 0


@attrs.define
class LoadResult:
    """Numbers of callers of one kind by the result of their calls.

    Attributes
    ----------
    callers : int
        Number of callers.
    in_time : int
        Number of callers answered within the target latency.
    late : int
        Number of callers answered later.
    refused : int
        Number of callers refused also at the last retry.
    refusal_waits_ms : list of float
        Time in milliseconds from each attempt to its refusal.
    """

    callers: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    refusal_waits_ms: list[float] = attrs.field(factory=list)

    @property
    def served_share(self):
        """Share of the callers that were answered."""
        return (self.in_time + self.late) / max(1, self.callers)

    def note_answer(self, latency_ms, kind):
        """Count an answer by its latency in milliseconds."""
        is_in_time = latency_ms <= kind.target_latency_ms
        self.in_time += is_in_time
        self.late += not is_in_time


def run_gate_model(slots, kinds, length_s, seed):
    """Simulate load on one gate.

    Parameters
    ----------
    slots : int
        Slots of the target.
    kinds : sequence of LoadKind
        Kinds of calls.
    length_s : float
        Time in seconds during which callers arrive.
    seed : int
        Seed of arrivals and amounts of work.

    Returns
    -------
    dict of str to LoadResult
        Results by kind.
    """
    return run_virtual(_simulate(PriorityGate(slots), kinds, length_s, seed))


async def _simulate(gate, kinds, length_s, seed):
    rng = random.Random(seed)
    results = collections.defaultdict(LoadResult)
    callers = []
    for at_s, kind, work_ms in list_arrivals(kinds, length_s, rng):
        offer = functools.partial(execute, gate, kind, work_ms)
        callers.append(simulate_caller(kind, at_s, results[kind.name], offer))
    await asyncio.gather(*callers)
    return dict(results)


def list_arrivals(kinds, length_s, rng):
    """Return the calls of a simulation.

    Parameters
    ----------
    kinds : sequence of LoadKind
        Kinds of calls.
    length_s : float
        Time in seconds during which callers arrive.
    rng : random.Random
        Source of randomness.

    Returns
    -------
    list of tuple
        Arrival in seconds, kind, and work in milliseconds of each call.
    """
    arrivals = []
    for kind in kinds:
        at_s = rng.expovariate(kind.per_s)
        while at_s < length_s:
            arrivals.append((at_s, kind, rng.expovariate(1 / kind.work_ms)))
            at_s += rng.expovariate(kind.per_s)
    return arrivals


async def simulate_caller(kind, at_s, result, offer):
    """Simulate one caller, which retries after refusals.

    Parameters
    ----------
    kind : LoadKind
        Kind of the call.
    at_s : float
        Arrival in seconds.
    result : LoadResult
        Counts the result of the call.
    offer : callable
        Coroutine function that takes the time of the first attempt in milliseconds
        and returns the Refusal, or None if the call was answered.
    """
    await asyncio.sleep(at_s)
    result.callers += 1
    first_ms = get_virtual_ms()
    for attempt in range(kind.caller_retries + 1):
        now_ms = get_virtual_ms()
        refusal = await offer(first_ms)
        if refusal is None:
            result.note_answer(get_virtual_ms() - first_ms, kind)
            return
        result.refusal_waits_ms.append(get_virtual_ms() - now_ms)
        if attempt < kind.caller_retries:
            await asyncio.sleep(refusal.retry_after_ms / 1000)
    result.refused += 1


async def execute(gate, kind, work_ms, first_ms, may_wait=True, target_id="target"):
    """Enter a gate and occupy a slot for the time of the work.

    Parameters
    ----------
    gate : PriorityGate
        The gate.
    kind : LoadKind
        Kind of the call.
    work_ms : float
        Work in milliseconds.
    first_ms : float
        Time of the caller's first attempt in milliseconds.
    may_wait : bool, optional
        Whether the call may wait for a slot.
    target_id : str, optional
        Name of the target.

    Returns
    -------
    Refusal or None
        None if the work was done.
    """
    now_ms = get_virtual_ms()
    hop = Hop(
        incarnation=1,
        target_id=target_id,
        rule_name=kind.name,
        priority=kind.priority,
        latency_ms=kind.target_latency_ms - (now_ms - first_ms),
        target_latency_ms=kind.target_latency_ms,
        may_wait=may_wait,
        is_repeatable=True,
    )
    refusal = await gate.enter(hop, first_ms + kind.deadline_ms, now_ms)
    if refusal is None:
        await asyncio.sleep(work_ms / 1000)
        gate.leave(hop, work_ms, get_virtual_ms())
    return refusal
