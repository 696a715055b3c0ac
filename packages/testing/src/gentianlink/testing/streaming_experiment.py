"""Measure the memory that two nodes need for a large answer and a large request.

Run with ``python -m gentianlink.testing.streaming_experiment``.
"""

import asyncio
import pathlib
import re

from gentianlink.testing.caller import Caller
from gentianlink.testing.demo import apply_catalogue, has_version, wait_for
from gentianlink.testing.fleet import Fleet

ANSWER_BYTES = 200_000_000
REQUEST_BYTES = 80_000_000
BOUND_BYTES = 64 << 20
KIB = 1024
CATALOGUE = """\
[service inquiry]
owner = o

[service other]
owner = o

[entry balance]
owner = o
service = inquiry
class = read
route = /inquiry/balance
body_max_bytes = 536870912
"""


def read_peak_memory(process):
    """Return the peak resident memory of a process in bytes."""
    text = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+) kB", text).group(1)) * KIB


async def measure(fleet):
    """Send one small call, a large answer and a large request over two hops.

    Parameters
    ----------
    fleet : Fleet
        Fleet of two nodes; the second has no target of the service.

    Returns
    -------
    dict of str to list of int
        Peak resident memory of each node in bytes after each step.
    """
    members = fleet.members
    await wait_for(members, lambda status: status["ready"])
    path = pathlib.Path(fleet.log_path.parent) / "streaming.catalogue.ini"
    path.write_text(CATALOGUE)
    apply_catalogue(fleet, path, "streaming")
    await wait_for(members, has_version(1))
    await wait_for(members, lambda status: 1 in status["endpoints"].values())
    caller = Caller(members[1].address, members[1].call_port)
    deadline = [("X-Gentianlink-Deadline-Ms", 120_000)]
    steps = {}
    steps["small"] = await caller.call("/inquiry/balance", deadline)
    peaks = {"small": read_peaks(members)}
    large = [*deadline, ("X-Answer-Bytes", ANSWER_BYTES)]
    steps["answer"] = await caller.call("/inquiry/balance", large)
    peaks["answer"] = read_peaks(members)
    steps["request"] = await caller.call(
        "/inquiry/balance", deadline, "POST", bytes(REQUEST_BYTES)
    )
    peaks["request"] = read_peaks(members)
    for name, answer in steps.items():
        print(f"{name:8} {answer.status} {answer.outcome} {answer.elapsed_ms:.0f} ms")
    return peaks


def read_peaks(members):
    """Return the peak resident memory of the members' nodes in bytes."""
    return [read_peak_memory(member.node) for member in members]


def main():
    """Run the measurement and print it."""
    fleet = Fleet("kingston")
    try:
        fleet.start_platform()
        for number, service in enumerate(("inquiry", "other"), 1):
            member = fleet.add_member(service, 1, number)
            fleet.start_node(member)
            fleet.start_target(member, slots=10, work_ms=1)
        peaks = asyncio.run(measure(fleet))
    finally:
        fleet.stop()
    for name, values in peaks.items():
        increases = [
            value - first for value, first in zip(values, peaks["small"], strict=True)
        ]
        verdict = "within" if max(increases) <= BOUND_BYTES else "over"
        shown = " ".join(f"+{value / 1e6:.1f} MB" for value in increases)
        print(f"{name:8} beside the target, far: {shown}, {verdict} the bound")


if __name__ == "__main__":
    main()
