"""Open-loop load generator: the rate of calls is independent of their latency."""

import asyncio
import collections
import random
import time

import attrs

MS_PER_S = 1000
DONE = "done"


@attrs.define
class LoadResult:
    """Results of one run of the load generator.

    Attributes
    ----------
    calls : int
        Number of calls offered.
    good_ms : list of float
        Latencies of complete answers within the deadline in milliseconds.
    late : int
        Number of complete answers after the deadline.
    refused_ms : list of float
        Latencies of final refusals in milliseconds.
    other : int
        Number of calls with an unknown outcome, or without an answer in time.
    requests : int
        Number of requests sent, caller retries included.
    window_s : float
        Length of the measurement window in seconds: the run without its first part,
        which lasts one deadline.
    good_in_window : int
        Number of complete answers within the deadline that arrived in the window.
    reasons : collections.Counter
        Numbers of final refusals and unknown outcomes by reason.
    """

    window_s: float
    calls: int = 0
    good_ms: list = attrs.field(factory=list)
    late: int = 0
    refused_ms: list = attrs.field(factory=list)
    other: int = 0
    requests: int = 0
    good_in_window: int = 0
    reasons: collections.Counter = attrs.field(factory=collections.Counter)

    @property
    def goodput(self):
        """Complete answers within the deadline per second of the window."""
        return self.good_in_window / self.window_s

    def add(self, answer, elapsed_ms, deadline_ms, is_in_window):
        """Add the result of one call.

        Parameters
        ----------
        answer : Answer or None
            Last answer; None if there was none in time.
        elapsed_ms : float
            Duration of the call in milliseconds.
        deadline_ms : float
            Deadline of the call in milliseconds after its start.
        is_in_window : bool
            Whether the call ended within the window.
        """
        if answer is not None and answer.reason:
            self.reasons[answer.reason] += 1
        if answer is None or answer.status == 0:
            self.other += 1
        elif answer.outcome == "not-run":
            self.refused_ms.append(elapsed_ms)
        elif answer.outcome == "unknown":
            self.other += 1
        elif elapsed_ms > deadline_ms:
            self.late += 1
        else:
            self.good_ms.append(elapsed_ms)
            self.good_in_window += is_in_window


def compute_percentile(values, share):
    """Return the percentile of unsorted values at a share from 0 to 1; 0 if empty."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


async def offer_load(send, rate, seconds, deadline_ms, seed=1):
    """Send calls as a Poisson process, without waiting for earlier calls.

    Parameters
    ----------
    send : callable
        Coroutine function that takes the number of a call and the LoadResult, sends
        the call and returns its last Answer, or None if there was none.
    rate : float
        Mean number of calls per second.
    seconds : float
        Duration of the run in seconds.
    deadline_ms : float
        Deadline of each call in milliseconds after its start.
    seed : int, optional
        Seed of the random gaps between calls.

    Returns
    -------
    LoadResult
        Results of all calls.
    """
    rng = random.Random(seed)
    warm_up_s = deadline_ms / MS_PER_S
    result = LoadResult(seconds - warm_up_s)
    get_time_s = time.perf_counter
    tasks = set()

    async def run_one(number):
        started_s = get_time_s()
        answer = await send(number, result)
        now_s = get_time_s()
        elapsed_ms = (now_s - started_s) * MS_PER_S
        result.add(
            answer, elapsed_ms, deadline_ms, window_start_s <= now_s <= window_end_s
        )

    next_s = get_time_s()
    window_start_s = next_s + warm_up_s
    window_end_s = next_s + seconds
    while next_s < window_end_s:
        await asyncio.sleep(next_s - get_time_s())
        tasks.add(asyncio.create_task(run_one(result.calls)))
        result.calls += 1
        next_s += rng.expovariate(rate)
    await asyncio.wait(tasks)
    return result
