"""Open load: calls arrive at a rate, however long the earlier ones take."""

import asyncio
import collections
import random
import time

import attrs

MS_PER_S = 1000
DONE = "done"


@attrs.define
class LoadResult:
    """What became of the calls of one load.

    Attributes
    ----------
    calls : int
        Calls that were offered.
    good_ms : list of float
        Times of whole answers within the deadline in milliseconds.
    late : int
        Whole answers after the deadline.
    refused_ms : list of float
        Times of final refusals in milliseconds.
    other : int
        Calls with an unknown outcome, or without any answer in time.
    requests : int
        Requests that were sent, repeated ones included.
    window_s : float
        Length of the window: the load without its beginning, as long as a deadline.
    good_in_window : int
        Whole answers in time that came within the window.
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
        """Whole answers in time for each second of the window."""
        return self.good_in_window / self.window_s

    def add(self, answer, elapsed_ms, deadline_ms, is_in_window):
        """Count what became of one call.

        Parameters
        ----------
        answer : Answer or None
            Last answer; None if none came in time.
        elapsed_ms : float
            Time that the call took in milliseconds.
        deadline_ms : float
            Time that it had in milliseconds.
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
    """Return a percentile of unsorted values, 0 if there are none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


async def offer_load(send, rate, seconds, deadline_ms, seed=1):
    """Offer calls with random gaps between them.

    Parameters
    ----------
    send : callable
        Coroutine function that sends one call, takes its number and the LoadResult,
        and returns the last Answer, or None without one.
    rate : float
        Calls for each second.
    deadline_ms : float
        Time that each call has in milliseconds.
    seed : int, optional
        Seed of the gaps.

    Returns
    -------
    LoadResult
        What became of the calls.
    """
    rng = random.Random(seed)
    lead_s = deadline_ms / MS_PER_S
    result = LoadResult(seconds - lead_s)
    get_time_s = time.perf_counter
    tasks = set()

    async def run_one(number):
        started_s = get_time_s()
        answer = await send(number, result)
        now_s = get_time_s()
        elapsed_ms = (now_s - started_s) * MS_PER_S
        result.add(answer, elapsed_ms, deadline_ms, begin_s <= now_s <= end_s)

    next_s = get_time_s()
    begin_s = next_s + lead_s
    end_s = next_s + seconds
    while next_s < end_s:
        await asyncio.sleep(next_s - get_time_s())
        tasks.add(asyncio.create_task(run_one(result.calls)))
        result.calls += 1
        next_s += rng.expovariate(rate)
    await asyncio.wait(tasks)
    return result
