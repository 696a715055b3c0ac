"""A seeded simulation of callers at many nodes with a target each, in virtual time.

The choice of targets, the load view and the gates are the product's own. The network is
a constant delay, and a node learns the load of another only from load reports in its
answers.
"""

import asyncio
import collections
import functools
import random

from gentianlink.sidecar.admission.priority_gate import PriorityGate
from gentianlink.sidecar.routing.call_progress import CallProgress
from gentianlink.sidecar.routing.choose import Candidate
from gentianlink.sidecar.routing.load_view import LoadView
from gentianlink.testing.gate_model import (
    LoadResult,
    execute,
    list_arrivals,
    simulate_caller,
)
from gentianlink.testing.virtual_loop import get_virtual_ms, run_virtual

ONE_WAY_DELAY_S = 0.001


class _Deployment:
    def __init__(self, nodes, slots, rng):
        self.gates = [PriorityGate(slots) for _ in range(nodes)]
        self.views = [LoadView() for _ in range(nodes)]
        self.slots = slots
        self.rng = rng
        self.attempts = 0

    def list_candidates(self, node, now_ms):
        view = self.views[node]
        view.report(str(node), self.gates[node].get_load(), now_ms)
        return [self._make_candidate(node, n, now_ms) for n in range(len(self.gates))]

    def _make_candidate(self, node, number, now_ms):
        name = str(number)
        load = self.views[node].get_load(name, now_ms)
        return Candidate(
            node_id=name,
            target_id=name,
            is_own=number == node,
            is_near=True,
            slots=self.slots,
            in_flight=load.in_flight,
            waiting=load.waiting,
            wait_ms=load.wait_ms,
            is_load_known=self.views[node].has_recent_report(name, now_ms),
        )


def run_deployment_model(nodes, slots, kinds, length_s, seed):
    """Simulate load on a service with a target at each node.

    Parameters
    ----------
    nodes : int
        Number of nodes.
    slots : int
        Slots of each target.
    kinds : sequence of LoadKind
        Kinds of calls; each call arrives at a random node.
    length_s : float
        Time in seconds during which callers arrive.
    seed : int
        Seed of arrivals, amounts of work and choices of targets.

    Returns
    -------
    results : dict of str to LoadResult
        Results by kind.
    attempts_per_call : float
        Mean number of attempts of the mesh for each caller.
    """
    return run_virtual(_simulate(nodes, slots, kinds, length_s, seed))


async def _simulate(nodes, slots, kinds, length_s, seed):
    rng = random.Random(seed)
    # The choice of targets draws from the shared generator of the module random.
    random.seed(seed)
    deployment = _Deployment(nodes, slots, rng)
    results = collections.defaultdict(LoadResult)
    callers = []
    for at_s, kind, work_ms in list_arrivals(kinds, length_s, rng):
        offer = functools.partial(_offer_to_random_node, deployment, kind, work_ms)
        callers.append(simulate_caller(kind, at_s, results[kind.name], offer))
    await asyncio.gather(*callers)
    return dict(results), deployment.attempts / len(callers)


async def _offer_to_random_node(deployment, kind, work_ms, first_ms):
    node = deployment.rng.randrange(len(deployment.gates))
    return await _route(deployment, node, kind, first_ms, work_ms)


async def _route(deployment, node, kind, first_ms, work_ms):
    progress = CallProgress()
    while True:
        now_ms = get_virtual_ms()
        candidates = deployment.list_candidates(node, now_ms)
        choice = progress.choose(lambda is_near_only, found=candidates: found)
        if choice is None:
            return progress.make_final_refusal()
        deployment.attempts += 1
        refusal = await _offer(deployment, node, choice, kind, first_ms, work_ms)
        if refusal is None:
            return None
        now_ms = get_virtual_ms()
        load = deployment.views[node].get_load(choice.candidate.node_id, now_ms)
        progress.note_refusal(choice, refusal, load.wait_ms)
        if not progress.may_try_another(refusal, True):
            return progress.make_final_refusal()


async def _offer(deployment, node, choice, kind, first_ms, work_ms):
    name = choice.candidate.node_id
    view = deployment.views[node]
    gate = deployment.gates[int(name)]
    view.begin(name)
    await asyncio.sleep(ONE_WAY_DELAY_S)
    refusal = await execute(gate, kind, work_ms, first_ms, choice.may_wait, name)
    load = gate.get_load()
    await asyncio.sleep(ONE_WAY_DELAY_S)
    view.end(name)
    view.report(name, load, get_virtual_ms())
    return refusal
