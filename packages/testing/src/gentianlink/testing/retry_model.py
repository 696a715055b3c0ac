"""A seeded simulation of the repeats of one service over all nodes, in virtual time.

Decides with the product's own parts, and checks the sum at the targets against the
budget of the deployment. Calls, sheds, queues and restarts are simulated; there is no
network.
"""

import bisect
import heapq
import itertools
import random

import attrs

from gentianlink.core.bounds import Bounds
from gentianlink.sidecar.retries.retry_share import RetryShare

SERVICE = "inquiry"
MS_PER_S = 1000.0
# Time between the nodes of a call, and until a target has refused it.
HOP_MS = 2.0
SHED_MS = 5.0


@attrs.frozen
class Pause:
    """Time in which some nodes pass nothing on to their targets.

    Attributes
    ----------
    start_s : float
        Start in seconds.
    length_s : float
        Length in seconds.
    """

    start_s: float
    length_s: float

    def defer(self, at_ms):
        """Return when a frozen node handles what arrives at a time in milliseconds."""
        start_ms = self.start_s * MS_PER_S
        end_ms = start_ms + self.length_s * MS_PER_S
        return end_ms if start_ms <= at_ms < end_ms else at_ms


@attrs.frozen
class RetryScenario:
    """Load and faults of one simulated service.

    Attributes
    ----------
    targets : int
        Number of targets, with a node beside each.
    nodes : int
        Number of nodes at which calls begin.
    per_s : float
        Calls per second.
    shed_share : float
        Share of the arrivals that a target does not execute.
    sheds_from_s : float
        Time in seconds at which targets begin to shed.
    caller_retry_share : float
        Share of the calls that are retries by their callers.
    attempts : int
        Largest number of targets of one call.
    burst : tuple of float
        Start and end in seconds of a burst, and the factor of the load in it.
    pauses : tuple of Pause
        Times in which nodes beside targets are frozen.
    paused : int
        Number of nodes beside targets that are frozen then.
    kills_s : tuple of float
        Times in seconds at which all processes are killed and start again.
    cut_s : tuple of float
        Start and end in seconds of the time in which a new process hears of one other
        node only.
    length_s : float
        Length of the simulation in seconds.
    bounds : Bounds
        Retry budget.
    """

    targets: int = 5
    nodes: int = 11
    per_s: float = 145.0
    shed_share: float = 0.6
    sheds_from_s: float = 0.0
    caller_retry_share: float = 0.6
    attempts: int = 3
    burst: tuple[float, float, float] = (0.0, 0.0, 1.0)
    pauses: tuple[Pause, ...] = ()
    paused: int = 4
    kills_s: tuple[float, ...] = ()
    cut_s: tuple[float, float] = (0.0, 0.0)
    length_s: float = 50.0
    bounds: Bounds = attrs.field(factory=lambda: Bounds(retry_extra=62.0))


@attrs.frozen
class RetryResult:
    """Calls and repeats of a simulated service, in the order of time.

    Attributes
    ----------
    calls_ms : list of float
        Times in milliseconds at which calls began.
    repeats_ms : list of float
        Times in milliseconds of arrivals at targets beyond the first of a call.
    served : int
        Number of calls that a target executed.
    """

    calls_ms: list[float]
    repeats_ms: list[float]
    served: int

    def find_excess(self, bounds):
        """Return by how much the worst window exceeds the budget.

        Parameters
        ----------
        bounds : Bounds
            Retry budget.

        Returns
        -------
        float
            Repeats beyond the budget, negative if no window exceeds it.
        """
        window_ms = bounds.retry_window_ms
        return max(
            (
                _count(self.repeats_ms, start_ms, start_ms + window_ms)
                - self._compute_allowed(bounds, start_ms)
                for start_ms in self.repeats_ms
            ),
            default=-bounds.retry_extra,
        )

    def _compute_allowed(self, bounds, start_ms):
        window_ms = bounds.retry_window_ms
        calls = max(
            _count(
                self.calls_ms, start_ms - before_ms, start_ms - before_ms + window_ms
            )
            for before_ms in (0.0, window_ms / 2, window_ms)
        )
        return bounds.retry_ratio * calls + bounds.retry_extra


def _count(times_ms, start_ms, end_ms):
    left = bisect.bisect_left(times_ms, start_ms)
    return bisect.bisect_right(times_ms, end_ms) - left


@attrs.define
class _Call:
    node: int
    is_caller_retry: bool
    tried: list[int] = attrs.field(factory=list)


class _OriginShares:
    """Budget of the nodes at which calls begin."""

    def __init__(self, scenario):
        self._scenario = scenario
        self._shares = []
        self.life = 0
        self.restart(0.0, False)

    def restart(self, now_ms, is_cut):
        """Start all processes anew."""
        scenario = self._scenario
        self.life += 1
        known = 2 if is_cut else scenario.nodes
        self._shares = [
            RetryShare(scenario.bounds, lambda: known, now_ms)
            for _ in range(scenario.nodes)
        ]

    def begin(self, call, now_ms):
        """Count a call where it begins."""
        self._shares[call.node].record_call(SERVICE, now_ms)

    def may_send(self, call, now_ms):
        """Return whether the node where a call began sends it again."""
        share = self._shares[call.node]
        return share.try_take(SERVICE, call.is_caller_retry, now_ms)

    def end(self, call, life, now_ms):
        """Record the end of a repeat, if its node still is the process of that time."""
        if life == self.life:
            self._shares[call.node].end(SERVICE, True, now_ms)


class RetryModel:
    """Simulates one scenario.

    Parameters
    ----------
    scenario : RetryScenario
        Load and faults.
    seed : int
        Seed of the random numbers.
    """

    def __init__(self, scenario, seed):
        self._scenario = scenario
        self._rng = random.Random(seed)
        self._budget = _OriginShares(scenario)
        self._events = []
        self._numbers = itertools.count()
        self._calls_ms = []
        self._repeats_ms = []
        self._served = 0

    def run(self):
        """Simulate the scenario.

        Returns
        -------
        RetryResult
            What arrived at the targets.
        """
        scenario = self._scenario
        for kill_s in scenario.kills_s:
            self._add(kill_s * MS_PER_S, self._kill)
        self._add(0.0, self._begin_call)
        end_ms = scenario.length_s * MS_PER_S
        while self._events:
            now_ms, _, work = heapq.heappop(self._events)
            if now_ms < end_ms:
                work(now_ms)
        return RetryResult(self._calls_ms, self._repeats_ms, self._served)

    def _add(self, at_ms, work):
        heapq.heappush(self._events, (at_ms, next(self._numbers), work))

    def _kill(self, now_ms):
        start_s, end_s = self._scenario.cut_s
        self._budget.restart(now_ms, start_s <= now_ms / MS_PER_S < end_s)

    def _begin_call(self, now_ms):
        scenario = self._scenario
        start_s, end_s, factor = scenario.burst
        is_burst = start_s <= now_ms / MS_PER_S < end_s
        per_s = scenario.per_s * (factor if is_burst else 1.0)
        self._add(now_ms + self._rng.expovariate(per_s) * MS_PER_S, self._begin_call)
        call = _Call(
            self._rng.randrange(scenario.nodes),
            self._rng.random() < scenario.caller_retry_share,
        )
        self._calls_ms.append(now_ms)
        self._budget.begin(call, now_ms)
        self._send(call, now_ms)

    def _send(self, call, now_ms):
        scenario = self._scenario
        untried = [item for item in range(scenario.targets) if item not in call.tried]
        if not untried or len(call.tried) >= scenario.attempts:
            return
        target = self._rng.choice(untried)
        life = self._budget.life
        if call.tried and not self._budget.may_send(call, now_ms):
            return
        arrival_ms = now_ms + HOP_MS
        if target < scenario.paused:
            for pause in scenario.pauses:
                arrival_ms = pause.defer(arrival_ms)
        self._add(arrival_ms, lambda at_ms: self._arrive(call, target, life, at_ms))

    def _arrive(self, call, target, life, now_ms):
        if call.tried:
            self._repeats_ms.append(now_ms)
            self._add(
                now_ms + SHED_MS, lambda at_ms: self._budget.end(call, life, at_ms)
            )
        call.tried.append(target)
        scenario = self._scenario
        has_shed = now_ms >= scenario.sheds_from_s * MS_PER_S
        if not has_shed or self._rng.random() >= scenario.shed_share:
            self._served += 1
            return
        self._add(now_ms + SHED_MS, lambda at_ms: self._send(call, at_ms))
