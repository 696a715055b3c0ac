"""Measure the latency that one and two nodes add to a call.

Run with ``python -m gentianlink.testing.latency_experiment``. Direct calls, calls
through the node of the target and calls through two nodes alternate, so that other
load on the machine affects all paths alike. Added latency is the difference between
the same percentiles of two paths.
"""

import asyncio
import os
import pathlib
import sys
import time

import uvloop

from gentianlink.testing.caller import Caller
from gentianlink.testing.demo import apply_catalogue, has_version, wait_for
from gentianlink.testing.fleet import Fleet
from gentianlink.testing.load import compute_percentile, offer_load

PATH = "/work"
SLOTS = 100
SINGLE_CALLS = 3000
WARM_UP_CALLS = 300
CAPACITY_CALLERS = 16
CAPACITY_SECONDS = 2.0
LOAD_SECONDS = 3.0
DEADLINE_MS = 5000
TARGET_ADDED_MS = 0.36
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
CATALOGUE = """\
[service work]
owner = o

[service other]
owner = o

[entry work]
owner = o
service = work
class = read
route = /work
deadline_ms = 5000
"""


def read_cpu_seconds(process):
    """Return the processor time of a process in seconds."""
    text = pathlib.Path(f"/proc/{process.pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def print_times(name, times):
    """Print percentiles of each path and the latency that the nodes add."""
    direct = times["direct"]
    for path, values in times.items():
        p50, p99 = (compute_percentile(values, share) for share in (0.5, 0.99))
        line = f"{name:10} {path:8} p50 {p50:6.3f}  p99 {p99:6.3f} ms"
        if path != "direct":
            added50 = p50 - compute_percentile(direct, 0.5)
            added99 = p99 - compute_percentile(direct, 0.99)
            line += f"  added p50 {added50:6.3f}  p99 {added99:6.3f} ms"
        print(line, flush=True)


async def measure_single(callers):
    """Measure the latency of one caller that sends one call at a time.

    Parameters
    ----------
    callers : dict of str to Caller
        One caller for each path.
    """
    times = {path: [] for path in callers}
    for number in range(WARM_UP_CALLS + SINGLE_CALLS):
        for path, caller in callers.items():
            answer = await caller.call(PATH)
            if number >= WARM_UP_CALLS:
                times[path].append(answer.elapsed_ms)
    print_times("one caller", times)


async def measure_capacity(name, caller, process):
    """Measure the throughput of one node with concurrent callers.

    Parameters
    ----------
    name : str
        Name of the path.
    caller : Caller
        Caller of the node.
    process : subprocess.Popen
        The node.

    Returns
    -------
    float
        Calls per second of processor time of the node.
    """
    end_s = time.perf_counter() + CAPACITY_SECONDS
    counts = [0] * CAPACITY_CALLERS

    async def run(index):
        while time.perf_counter() < end_s:
            await caller.call(PATH)
            counts[index] += 1

    before_s = read_cpu_seconds(process)
    await asyncio.gather(*(run(index) for index in range(CAPACITY_CALLERS)))
    used_s = read_cpu_seconds(process) - before_s
    rate = sum(counts) / CAPACITY_SECONDS
    a_core = sum(counts) / used_s
    print(f"capacity   {name:8} {rate:.0f} calls/s, {a_core:.0f} calls/s a core")
    return a_core


async def measure_load(callers, rate, name):
    """Measure the latency at a fixed rate, one path after the other."""
    times = {}
    for path, caller in callers.items():

        async def send(number, result, caller=caller):
            return await caller.call(PATH)

        result = await offer_load(send, rate, LOAD_SECONDS, DEADLINE_MS)
        times[path] = result.good_ms
    print_times(name, times)


async def measure(fleet, only_single):
    """Run all measurements."""
    members = fleet.members
    await wait_for(members, lambda status: status["ready"])
    path = pathlib.Path(fleet.log_path.parent) / "work.catalogue.ini"
    path.write_text(CATALOGUE)
    apply_catalogue(fleet, path, "latency")
    await wait_for(members, has_version(1))
    await wait_for(members, lambda status: 1 in status["endpoints"].values())
    near, far = members
    callers = {
        "direct": Caller(near.address, near.target_port),
        "one hop": Caller(near.address, near.call_port),
        "two hops": Caller(far.address, far.call_port),
    }
    await measure_single(callers)
    print(f"target     added p99 {TARGET_ADDED_MS} ms")
    if not only_single:
        one, two = "one hop", "two hops"
        await measure_capacity(one, callers[one], near.node)
        capacity = await measure_capacity(two, callers[two], far.node)
        for share in (0.3, 0.8):
            rate = capacity * share
            await measure_load(callers, rate, f"{share:.0%} load")


def start_plain_target(fleet, member):
    """Start a target whose calls take no time at a member's node."""
    module = "gentianlink.testing.plain_target"
    values = (
        member.service,
        f"target-{member.node_id}",
        member.address,
        str(member.target_port),
        str(SLOTS),
        member.admin_url,
    )
    member.target = fleet.start([sys.executable, "-m", module, *values])


def main():
    """Run the measurement; with ``single`` only one caller at a time."""
    fleet = Fleet("latency")
    try:
        fleet.start_platform()
        for number, service in enumerate(("work", "other"), 1):
            member = fleet.add_member(service, 1, number)
            fleet.start_node(member)
            start_plain_target(fleet, member)
        uvloop.run(measure(fleet, "single" in sys.argv))
    finally:
        fleet.stop()


if __name__ == "__main__":
    main()
