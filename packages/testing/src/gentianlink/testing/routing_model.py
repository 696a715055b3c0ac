"""A seeded simulation of a service of uneven targets in several data centres.

Virtual time; the choice of targets, its estimates and the gates are the product's own.
A node knows loads only from answers to its own calls, and execution times as the nodes
beside the targets publish them, a little later.
"""

import asyncio
import collections
import functools
import random

import attrs

from gentianlink.sidecar.admission.priority_gate import PriorityGate
from gentianlink.sidecar.hop import Hop
from gentianlink.sidecar.routing.call_progress import CallProgress
from gentianlink.sidecar.routing.choose import Candidate
from gentianlink.sidecar.routing.data_centre_loads import DataCentreLoads
from gentianlink.sidecar.routing.expected_time import CallObjective
from gentianlink.sidecar.routing.load_view import LoadView
from gentianlink.sidecar.routing.timed_choice import CallTerms
from gentianlink.sidecar.routing.work_estimator import WorkEstimator
from gentianlink.testing.virtual_loop import get_virtual_ms, run_virtual

RULE = "read"
SERVICE = "service"
RESULTS = "in_time", "late", "refused"
NEAR_DELAY_MS = 0.8
FAR_DELAY_MS = 1.4
# Work of a node for a forwarded call.
HOP_MS = 1.0
SPREAD = 0.5
TAIL_SHARE = 0.01
TAIL_FACTORS = (3.0, 5.0)
REFRESH_S = 0.5
# Time until a changed record has reached the other nodes.
RECORD_DELAY_S = 0.1
DEADLINE_FACTOR = 3.0


@attrs.frozen
class ModelTarget:
    """A target of the model.

    Attributes
    ----------
    data_centre : str
        Its data centre.
    slots : int
        Calls that it executes at once.
    get_factor : callable
        Takes the time in seconds and the number of calls in flight; returns by how
        much its times are longer than the work of a call, or infinity if it hangs.
    start_s : float
        Time in seconds from which on it is known.
    """

    data_centre: str
    slots: int
    get_factor: object
    start_s: float = 0.0


@attrs.frozen
class ModelLoad:
    """Calls of the model.

    Attributes
    ----------
    per_s : dict of str to float
        Calls a second by data centre where they arrive.
    work_ms : float
        Mean work in milliseconds.
    objective_ms : float
        Latency objective in milliseconds.
    length_s : float
        Time in seconds during which calls arrive.
    warm_s : float
        Calls that arrive earlier are not counted.
    """

    per_s: dict
    work_ms: float
    objective_ms: float
    length_s: float
    warm_s: float = 0.0


@attrs.define
class ModelResult:
    """Counts of a simulation.

    Attributes
    ----------
    calls, in_time, late, refused : int
        Calls by result.
    attempts : int
        Sendings of calls to gates.
    away : int
        Sendings to gates in other data centres.
    runs : list of tuple
        Time in seconds, data centre of arrival, and number of the target of each call
        that was executed.
    most_held : dict of int to int
        Largest number of calls in flight by number of target.
    published : int
        Changes of published execution times.
    by_data_centre : collections.Counter
        Calls by data centre of arrival and result.
    """

    calls: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    attempts: int = 0
    away: int = 0
    runs: list = attrs.field(factory=list)
    most_held: dict = attrs.field(factory=dict)
    published: int = 0
    by_data_centre: collections.Counter = attrs.field(factory=collections.Counter)

    def note_call(self, data_centre, result):
        """Count a call by where it arrived and by its result."""
        self.calls += 1
        setattr(self, result, getattr(self, result) + 1)
        self.by_data_centre[data_centre, result] += 1

    def compute_value(self, data_centre, late_value):
        """Return the mean value of a data centre's calls, without prices."""
        counts = [self.by_data_centre[data_centre, name] for name in RESULTS]
        return (counts[0] + late_value * counts[1]) / max(1, sum(counts))

    @property
    def in_time_share(self):
        """Share of the calls that were answered within the objective."""
        return self.in_time / max(1, self.calls)

    @property
    def away_share(self):
        """Sendings to other data centres for each call."""
        return self.away / max(1, self.calls)


class _Node:
    def __init__(self, data_centre, own_target):
        self.data_centre = data_centre
        self.own_target = own_target
        self.view = LoadView()
        self.loads = DataCentreLoads()


class _Model:
    def __init__(self, targets, callers, load, is_timed, transfer_cost_ms, rng):
        self.targets = targets
        self.load = load
        self.is_timed = is_timed
        self.transfer_cost_ms = transfer_cost_ms
        self.rng = rng
        self.gates = [PriorityGate(item.slots) for item in targets]
        self.estimators = [WorkEstimator() for _ in targets]
        self.known_work = [()] * len(targets)
        self.nodes = [_Node(item.data_centre, n) for n, item in enumerate(targets)]
        for data_centre in load.per_s:
            self.nodes += [_Node(data_centre, None) for _ in range(callers)]
        self.result = ModelResult()

    def list_candidates(self, node, is_near_only):
        now_ms = get_virtual_ms()
        found = []
        for number, target in enumerate(self.targets):
            is_near = target.data_centre == node.data_centre
            if now_ms < target.start_s * 1000 or (is_near_only and not is_near):
                continue
            name = str(number)
            is_own = node.own_target == number
            if is_own:
                node.view.report(name, self.gates[number].get_load(), now_ms)
            load = node.view.get_load(name, now_ms)
            found.append(
                Candidate(
                    node_id=name,
                    target_id=name,
                    is_own=is_own,
                    is_near=is_near,
                    slots=target.slots,
                    in_flight=load.in_flight,
                    waiting=load.waiting,
                    wait_ms=load.wait_ms,
                    is_load_known=is_own or node.view.has_recent_report(name, now_ms),
                    work_ms=self.known_work[number],
                    data_centre=target.data_centre,
                )
            )
        return found

    def make_terms(self, node, arrived_ms):
        if not self.is_timed:
            return None
        now_ms = get_virtual_ms()
        left_ms = self.load.objective_ms - (now_ms - arrived_ms)
        return CallTerms(
            CallObjective(RULE, left_ms, self.load.objective_ms),
            lambda name: node.loads.get_load(SERVICE, name, get_virtual_ms()),
            self.transfer_cost_ms,
            self.rng.random(),
            self.rng,
        )

    async def call(self, at_s, node, work_ms):
        await asyncio.sleep(at_s)
        arrived_ms = get_virtual_ms()
        is_counted = at_s >= self.load.warm_s
        progress = CallProgress(self.make_terms(node, arrived_ms))
        find = functools.partial(self.list_candidates, node)
        while True:
            choice = progress.choose(find)
            if choice is None:
                break
            refusal = await self.attempt(node, choice, arrived_ms, work_ms, is_counted)
            if refusal is None:
                break
            load = node.view.get_load(choice.candidate.node_id, get_virtual_ms())
            progress.note_refusal(choice, refusal, load.wait_ms)
            if not progress.may_try_another(refusal, True):
                choice = None
                break
        if is_counted:
            elapsed_ms = get_virtual_ms() - arrived_ms
            in_time, late, refused = RESULTS
            is_in_time = elapsed_ms <= self.load.objective_ms
            answered = in_time if is_in_time else late
            self.result.note_call(
                node.data_centre, refused if choice is None else answered
            )

    async def attempt(self, node, choice, arrived_ms, work_ms, is_counted):
        candidate = choice.candidate
        number = int(candidate.target_id)
        delay_ms = NEAR_DELAY_MS if candidate.is_near else FAR_DELAY_MS
        delay_s = 0.0 if candidate.is_own else (delay_ms + HOP_MS) / 1000
        if is_counted:
            self.result.attempts += 1
            self.result.away += not candidate.is_near
        node.view.begin(candidate.node_id)
        await asyncio.sleep(delay_s)
        refusal, load = await self.execute(number, choice, arrived_ms, work_ms, node)
        await asyncio.sleep(delay_s)
        now_ms = get_virtual_ms()
        node.view.end(candidate.node_id)
        node.view.report(candidate.node_id, load, now_ms)
        if not candidate.is_near:
            node.loads.report(
                SERVICE, candidate.data_centre, load, candidate.slots, now_ms
            )
        return refusal

    async def execute(self, number, choice, arrived_ms, work_ms, node):
        gate = self.gates[number]
        now_ms = get_virtual_ms()
        objective_ms = self.load.objective_ms
        hop = Hop(
            incarnation=1,
            target_id=choice.candidate.target_id,
            rule_name=RULE,
            priority=1,
            latency_ms=objective_ms - (now_ms - arrived_ms),
            target_latency_ms=objective_ms,
            may_wait=choice.may_wait,
            is_repeatable=True,
        )
        deadline_ms = arrived_ms + DEADLINE_FACTOR * objective_ms
        refusal = await gate.enter(hop, deadline_ms, now_ms)
        if refusal is not None:
            return refusal, gate.get_load()
        started_ms = get_virtual_ms()
        held = self.result.most_held
        held[number] = max(held.get(number, 0), gate.in_flight)
        self.result.runs.append((started_ms / 1000, node.data_centre, number))
        key = self.estimators[number].begin(RULE, started_ms)
        target = self.targets[number]
        factor = target.get_factor(started_ms / 1000, gate.in_flight)
        await asyncio.sleep(min(work_ms * factor, deadline_ms - started_ms) / 1000)
        self.estimators[number].end(key)
        now_ms = get_virtual_ms()
        self.estimators[number].record(RULE, now_ms - started_ms, False, now_ms)
        # A node adds its load to the head of an answer, while the call is in the gate.
        load = gate.get_load()
        gate.leave(hop, now_ms - started_ms, now_ms)
        return None, load

    async def publish(self):
        while True:
            await asyncio.sleep(REFRESH_S)
            times = [item.refresh(get_virtual_ms()) for item in self.estimators]
            self.result.published += sum(
                new != old for new, old in zip(times, self.known_work, strict=True)
            )
            await asyncio.sleep(RECORD_DELAY_S)
            self.known_work = times


def run_routing_model(
    targets, load, seed, is_timed=True, callers=10, transfer_cost_ms=20.0
):
    """Simulate calls to a service.

    Parameters
    ----------
    targets : sequence of ModelTarget
        Targets of the service, each beside a node.
    load : ModelLoad
        The calls.
    seed : int
        Seed of arrivals, work and choices.
    is_timed : bool, optional
        Whether targets are chosen by expected time, else by free slots alone.
    callers : int, optional
        Nodes of each data centre without a target of the service.
    transfer_cost_ms : float, optional
        Price of a transfer between data centres.

    Returns
    -------
    ModelResult
        Counts of the calls.
    """
    rng = random.Random(seed)
    # Choices by free slots alone draw from the shared generator of the module random.
    random.seed(seed)
    model = _Model(targets, callers, load, is_timed, transfer_cost_ms, rng)
    return run_virtual(_simulate(model))


async def _simulate(model):
    publishing = asyncio.create_task(model.publish())
    calls = []
    for data_centre, per_s in model.load.per_s.items():
        nodes = [item for item in model.nodes if item.data_centre == data_centre]
        at_s = model.rng.expovariate(per_s)
        while at_s < model.load.length_s:
            work_ms = _draw_work_ms(model.load.work_ms, model.rng)
            calls.append(model.call(at_s, model.rng.choice(nodes), work_ms))
            at_s += model.rng.expovariate(per_s)
    await asyncio.gather(*calls)
    publishing.cancel()
    return model.result


def _draw_work_ms(mean_ms, rng):
    work_ms = mean_ms * rng.lognormvariate(-(SPREAD**2) / 2, SPREAD)
    if rng.random() < TAIL_SHARE:
        work_ms *= rng.uniform(*TAIL_FACTORS)
    return work_ms
