"""A seeded simulation of crashing requests, in virtual time and without network.

Some requests crash each target that executes them and come again and again; others are
only in flight beside them, and their callers repeat them. The exchange of state, the
detection of crashes and the quarantine are the product's own; targets, callers and the
choice of a target are modelled.

``python -m gentianlink.testing.quarantine_model`` prints for some numbers of nodes how
often a crashing request is sent after it has crashed three targets, and whether another
one is refused. It also plays days on which targets crash again and again for another
reason, with a request of which most calls are in flight at each crash.
"""

import asyncio
import itertools
import logging
import random
from unittest import mock

import attrs
import structlog
import typer
from tornado.httputil import HTTPHeaders

from gentianlink.core.target_state import TargetState
from gentianlink.node.proxy.call import Call
from gentianlink.platform import wire
from gentianlink.sidecar import crash_guard
from gentianlink.sidecar.call_metrics import CallMetrics
from gentianlink.sidecar.completion_notices import CompletionNotices
from gentianlink.sidecar.crash_detector import CrashDetector
from gentianlink.sidecar.crash_guard import CrashGuard
from gentianlink.sidecar.target_info import TargetInfo
from gentianlink.testing.membership_model import run_fleet
from gentianlink.testing.virtual_loop import get_virtual_ms

SERVICES = 3
SLOTS = 9
# Times of the users' incident.
CRASH_S = 0.1
RESTART_S = (1.4, 3.5)
CRASHING_GAP_S = 0.25
# Calls of others a second at each target, and how long they work.
OTHERS_PER_S = 12
WORK_S = (0.1, 1.2)
POPULAR_SHARE = 0.2
CALLER_RETRIES = 3
DAY_S = 20.0
# Time from a crash until the node beside the target notices it.
DETECTION_S = 0.01
# Targets that crash for a reason of their own: time up and time down, by turns.
UNSTABLE_S = (0.3, 0.9)
UNSTABLE_FROM_S, UNSTABLE_UNTIL_S = 3.0, 12.0
# The popular request takes longer than such a target is up.
POPULAR_S = (0.6, 1.4)
KNOWN_AFTER_S = 3.0
CRASHES_BEFORE = 3
SIZES = (11, 48, 89, 195)


@attrs.frozen
class Day:
    """What happens in a simulated day.

    Attributes
    ----------
    has_crashing : bool
        Whether each service gets a request that crashes its targets.
    unstable : int
        Number of targets that crash again and again for another reason.
    popular_share : float
        Share of the other calls that ask for the same.
    services : int
        Number of services; the targets are split evenly.
    """

    has_crashing: bool = True
    unstable: int = 0
    popular_share: float = POPULAR_SHARE
    services: int = SERVICES


@attrs.define
class Result:
    """What happened in one simulated day.

    Attributes
    ----------
    crashes : int
        Crashes of targets.
    further : int
        Most sendings of one crashing request later than 3 s after its third crash.
    known_s : float
        Longest time from a third crash until no node lets the request pass.
    refused_others : int
        Refusals of requests that crash nothing.
    """

    crashes: int = 0
    further: int = 0
    known_s: float = 0.0
    refused_others: int = 0


class ModelTarget:
    """Target beside a node of the fleet, with the node's guard.

    Parameters
    ----------
    node : ModelNode
        The node.
    number : int
        Number of the node.
    services : int
        Number of services.
    """

    def __init__(self, node, number, services):
        self._node = node
        self.name = f"target-{number}"
        self.service = number % services
        self.is_up = True
        self.started_ms = 1
        self._running = {}
        self._suspects = 0
        self._detector = CrashDetector()
        self.guard = CrashGuard(self._publish, lambda request: None, CallMetrics())
        notices = CompletionNotices(
            node.directory, node.datagrams, self.guard.note_completed_elsewhere
        )
        self.guard.set_notify(notices.send)

    @property
    def has_room(self):
        """Whether the target runs and has a free slot."""
        return self.is_up and len(self._running) < SLOTS

    def accepts(self, call):
        """Return whether the gate lets a call pass."""
        if self.guard.is_quarantined(call):
            return False
        return not (self._suspects and self.guard.is_suspect(call))

    def announce(self):
        """Publish the target in the record of its node."""
        self._node.directory.update_own(target=self._make_info())
        self._node.exchange.push()

    def _make_info(self):
        return TargetInfo(
            self.name, str(self.service), SLOTS, TargetState.READY, self.started_ms, 1
        )

    def _publish(self):
        self._node.directory.update_own(crashes=self.guard.own_reports)
        self._node.exchange.push()

    async def execute(self, call, work_s, is_crashing):
        """Execute a call; return whether it was answered."""
        dispatch = self._detector.begin(call, get_virtual_ms())
        detector, ended = self._detector, asyncio.Event()
        self._running[ended] = None
        is_suspect = self.guard.is_suspect(call)
        self._suspects += is_suspect
        try:
            async with asyncio.timeout(CRASH_S if is_crashing else work_s):
                await ended.wait()
            detector.note_lost(dispatch, get_virtual_ms())
            return False
        except TimeoutError:
            if is_crashing and self.is_up:
                detector.note_lost(dispatch, get_virtual_ms())
                self.crash()
                return False
            detector.note_answered(dispatch)
            self.guard.note_completed(call)
            return True
        finally:
            del self._running[ended]
            self._suspects -= is_suspect

    def crash(self):
        """End the process of the target with all its calls."""
        # The calls that it executes lose their connections at the same moment.
        self.is_up = False
        for ended in self._running:
            ended.set()
        loop = asyncio.get_running_loop()
        detector, self._detector = self._detector, CrashDetector()
        loop.call_later(DETECTION_S, self._report_crash, self._make_info(), detector)

    def _report_crash(self, info, detector):
        calls = detector.take_crash()
        if calls:
            self.guard.note_crash(info, calls)

    def restart(self):
        """Start a new process of the target."""
        self.is_up = True
        self.started_ms += 1


class CrashDay:
    """Callers, targets and crashing requests of one simulated day.

    Parameters
    ----------
    fleet : ModelFleet
        The nodes.
    day : Day
        What happens.
    """

    def __init__(self, fleet, day):
        self._day = day
        self._targets = [
            ModelTarget(node, number, day.services)
            for number, node in enumerate(fleet.nodes.values())
        ]
        for node, target in zip(fleet.nodes.values(), self._targets, strict=True):
            node.on_reports = target.guard.learn_reports
            target.announce()
        self._crash_times = {}
        self._further = {}
        self._tasks = set()
        self.result = Result()

    def _start(self, work):
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _choose(self, service):
        fitting = [t for t in self._targets if t.service == service and t.has_room]
        return random.choice(fitting) if fitting else None

    async def run(self):
        """Run the day and return its result."""
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + DAY_S
        for service in range(self._day.services):
            if self._day.has_crashing:
                self._start(self._send_crashing(service, ends_s))
            self._start(self._send_others(service, ends_s))
        for target in self._targets[: self._day.unstable]:
            self._start(self._crash_by_turns(target))
        await asyncio.sleep(DAY_S + 5.0)
        self.result.further = max(self._further.values(), default=0)
        return self.result

    async def _send_crashing(self, service, ends_s):
        """Send one request again and again, each time at another node."""
        path = f"/crashing/{service}"
        while asyncio.get_running_loop().time() < ends_s:
            await asyncio.sleep(random.uniform(0.0, 2 * CRASHING_GAP_S))
            self._start(self._crash_one(path, service))

    async def _crash_one(self, path, service):
        call = _make_call(path, service)
        target = self._choose(service)
        entry = random.choice(self._targets)
        if target is None or entry.guard.is_quarantined(call):
            return
        if not target.accepts(call):
            return
        times = self._crash_times.setdefault(path, [])
        now_s = asyncio.get_running_loop().time()
        if len(times) >= CRASHES_BEFORE and (
            now_s - times[CRASHES_BEFORE - 1] > KNOWN_AFTER_S
        ):
            self._further[path] = self._further.get(path, 0) + 1
        await target.execute(call, CRASH_S, True)
        if target.is_up:
            return
        self.result.crashes += 1
        times.append(asyncio.get_running_loop().time())
        if len(times) == CRASHES_BEFORE:
            self._start(self._measure_known(call, times[-1]))
        await asyncio.sleep(random.uniform(*RESTART_S))
        target.restart()

    async def _crash_by_turns(self, target):
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + UNSTABLE_UNTIL_S
        await asyncio.sleep(UNSTABLE_FROM_S)
        while loop.time() < ends_s:
            if target.is_up:
                target.crash()
                self.result.crashes += 1
                await asyncio.sleep(random.uniform(*UNSTABLE_S))
                target.restart()
            await asyncio.sleep(random.uniform(*UNSTABLE_S))

    async def _measure_known(self, call, since_s):
        loop = asyncio.get_running_loop()
        while not all(target.guard.is_quarantined(call) for target in self._targets):
            await asyncio.sleep(0.01)
            self.result.known_s = max(self.result.known_s, loop.time() - since_s)

    async def _send_others(self, service, ends_s):
        """Send requests that crash nothing; callers repeat those that are lost."""
        count = sum(target.service == service for target in self._targets)
        number = 0
        while asyncio.get_running_loop().time() < ends_s:
            await asyncio.sleep(random.expovariate(OTHERS_PER_S * count))
            number += 1
            is_popular = random.random() < self._day.popular_share
            path = f"/popular/{service}" if is_popular else f"/other/{service}/{number}"
            work_s = POPULAR_S if is_popular and self._day.unstable else WORK_S
            self._start(self._call_until_answered(path, service, work_s))

    async def _call_until_answered(self, path, service, work_s):
        for _ in range(CALLER_RETRIES):
            call = _make_call(path, service)
            target = self._choose(service)
            if target is not None:
                guards = random.choice(self._targets).guard, target.guard
                if any(guard.is_quarantined(call) for guard in guards):
                    self.result.refused_others += 1
                    return
                is_accepted = target.accepts(call)
                if is_accepted and await target.execute(
                    call, random.uniform(*work_s), False
                ):
                    return
            await asyncio.sleep(random.uniform(0.05, 0.5))


def _make_call(path, caller):
    headers = HTTPHeaders(
        {
            "Host": "shop.example",
            wire.REQUEST_ID: str(random.random()),
            wire.CALLING_SERVICE: str(caller),
        }
    )
    return Call("GET", path, headers, b"", 0.0)


def run_day(count, seed, day=None):
    """Simulate one day.

    Parameters
    ----------
    count : int
        Number of nodes.
    seed : int
        Seed of all random choices.
    day : Day, optional
        What happens; by default crashing requests only.

    Returns
    -------
    Result
        What happened.
    """

    async def scenario(fleet):
        return await CrashDay(fleet, day or Day()).run()

    with mock.patch.object(crash_guard, "get_monotonic_ms", get_virtual_ms):
        return run_fleet(scenario, count, seed)


def main(seeds: int = 10):
    """Print the worst results of some days for some numbers of nodes."""
    level = logging.ERROR
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(level))
    unstable = Day(has_crashing=False, unstable=1, popular_share=0.9)
    days = [("crashing requests", Day()), ("unstable target", unstable)]
    days.append(("both", attrs.evolve(unstable, has_crashing=True, unstable=2)))
    for (name, day), count in itertools.product(days, SIZES):
        results = [run_day(count, seed, day) for seed in range(1, seeds + 1)]
        print(
            f"{name}, {count} nodes, {seeds} seeds: "
            f"{max(item.further for item in results)} further sendings at most, "
            f"known everywhere after {max(item.known_s for item in results):.2f} s, "
            f"{max(item.crashes for item in results)} crashes, "
            f"{sum(item.refused_others for item in results)} other requests refused",
            flush=True,
        )


if __name__ == "__main__":
    typer.run(main)
