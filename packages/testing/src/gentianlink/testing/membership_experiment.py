"""Measure the cost of membership for a node and the time to detect failures.

Run ``python -m gentianlink.testing.membership_experiment --help``.
"""

import asyncio
import itertools
import os
import pathlib
import random
import signal
import statistics
import time

import typer
from tornado.httpclient import AsyncHTTPClient

from gentianlink.core.announcement import Announcement
from gentianlink.core.codec import encode
from gentianlink.testing.demo import get_status, wait_for
from gentianlink.testing.fleet import Fleet

START_TIMEOUT_S = 60
VIEW_TIMEOUT_S = 60
POLL_S = 0.05
LOG_CHARACTERS_SHOWN = 4000
BYTES_PER_KB = 1000
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


def read_processor_s(pid):
    """Return the processor time that a process has used, in seconds."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def read_resident_mb(pid):
    """Return the resident memory of a process in megabytes."""
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * PAGE_BYTES / 1e6


def make_fleet(nodes, data_centres, extra_settings=""):
    """Start a fleet of nodes without targets.

    Parameters
    ----------
    nodes : int
        Number of nodes.
    data_centres : int
        Number of data centres.
    extra_settings : str, optional
        Lines of the section ``mesh``.

    Returns
    -------
    Fleet
        The running fleet.
    """
    fleet = Fleet("region", extra_settings)
    fleet.start_platform()
    for number in range(nodes):
        fleet.add_member("service", number, number % data_centres + 1)
    for member in fleet.members:
        fleet.start_node(member)
    return fleet


async def wait_for_view(members, nodes, timeout_s=VIEW_TIMEOUT_S):
    """Wait until all members have the same records and count the same live nodes.

    Parameters
    ----------
    members : list of Member
        Members whose nodes run.
    nodes : int
        Expected number of live nodes.
    timeout_s : float, optional
        Timeout in seconds.

    Returns
    -------
    float
        Time until the views agreed in seconds.

    Raises
    ------
    TimeoutError
        If the views do not agree within the timeout.
    """
    started_s = time.monotonic()
    while time.monotonic() < started_s + timeout_s:
        statuses = await asyncio.gather(*map(get_status, members))
        views = {
            (status["nodes"], status["records_digest"]) if status else None
            for status in statuses
        }
        if len(views) == 1 and None not in views and next(iter(views))[0] == nodes:
            return time.monotonic() - started_s
        await asyncio.sleep(POLL_S)
    raise TimeoutError(f"views: {views}")


async def measure_idle(fleet, seconds):
    """Return the cost of each node at idle.

    Parameters
    ----------
    fleet : Fleet
        The running fleet.
    seconds : float
        Length of the measurement in seconds.

    Returns
    -------
    list of tuple of float
        For each node: processor share in percent, kilobytes sent and received per
        second, resident memory in megabytes and number of links.
    """
    before = await _read_costs(fleet)
    started_s = time.monotonic()
    await asyncio.sleep(seconds)
    after = await _read_costs(fleet)
    elapsed_s = time.monotonic() - started_s
    costs = []
    for member, first, last in zip(fleet.members, before, after, strict=True):
        share = 100 * (last[0] - first[0]) / elapsed_s
        rate = (last[1] - first[1]) / elapsed_s / BYTES_PER_KB
        costs.append((share, rate, read_resident_mb(member.node.pid), last[2]))
    return costs


async def _read_costs(fleet):
    statuses = await asyncio.gather(*map(get_status, fleet.members))
    return [
        (
            read_processor_s(member.node.pid),
            sum(status["control_bytes"].values()),
            len(status["links"]),
        )
        for member, status in zip(fleet.members, statuses, strict=True)
    ]


def run_or_show_log(fleet, work):
    """Run a measurement; show the end of the log if it times out.

    Parameters
    ----------
    fleet : Fleet
        The running fleet.
    work : coroutine
        The measurement.

    Raises
    ------
    TimeoutError
        If the measurement times out.
    """
    try:
        asyncio.run(work)
    except TimeoutError:
        print(fleet.log_path.read_text()[-LOG_CHARACTERS_SHOWN:])
        raise


@app.command()
def idle(nodes: int, seconds: float = 10.0, data_centres: int = 3, mesh: str = ""):
    """Processor time, bytes and memory of each node at idle."""
    fleet = make_fleet(nodes, data_centres, mesh.replace(",", "\n"))
    try:
        run_or_show_log(fleet, _run_idle(fleet, seconds))
    finally:
        fleet.stop()


async def _run_idle(fleet, seconds):
    agreed_s = await wait_for_view(fleet.members, len(fleet.members), START_TIMEOUT_S)
    await asyncio.sleep(2)
    costs = await measure_idle(fleet, seconds)
    print(f"{len(costs)} nodes, views agree after {agreed_s:.1f} s")
    _print_costs(costs)


def _print_costs(costs):
    names = ("% of a core", "KB/s sent and received", "MB resident", "links")
    for name, values in zip(names, zip(*costs, strict=True), strict=True):
        print(f"{name:24} p50 {statistics.median(values):6.2f}  max {max(values):6.2f}")


@app.command()
def detection(nodes: int, kills: int = 5, data_centres: int = 3):
    """Time from the kill of a node until all others have declared it dead."""
    fleet = make_fleet(nodes, data_centres)
    try:
        run_or_show_log(fleet, _run_detection(fleet, kills))
    finally:
        fleet.stop()


async def _run_detection(fleet, kills):
    members = list(fleet.members)
    await wait_for_view(members, len(members), START_TIMEOUT_S)
    await asyncio.sleep(2)
    times = []
    for _ in range(kills):
        victim = members.pop()
        victim.node.kill()
        victim.node.wait()
        times.append(await wait_for_view(members, len(members)))
    print(
        f"{len(fleet.members)} nodes, {kills} kills: dead on all others after "
        f"p50 {statistics.median(times):.2f} s, max {max(times):.2f} s"
    )


@app.command()
def rejoin(nodes: int, data_centres: int = 3, down_s: float = 8.0):
    """Kill half of the nodes together, restart them, and wait until views agree."""
    fleet = make_fleet(nodes, data_centres)
    try:
        run_or_show_log(fleet, _run_rejoin(fleet, down_s))
    finally:
        fleet.stop()


async def _run_rejoin(fleet, down_s):
    members = fleet.members
    await wait_for_view(members, len(members), START_TIMEOUT_S)
    half = random.Random(1).sample(members, len(members) // 2)
    for member in half:
        member.node.kill()
    for member in half:
        member.node.wait()
    survivors = [member for member in members if member not in half]
    died_s = await wait_for_view(survivors, len(survivors))
    await asyncio.sleep(max(0.0, down_s - died_s))
    for member in half:
        fleet.start_node(member)
    started_s = time.monotonic()
    await wait_for(half, lambda status: True, START_TIMEOUT_S)
    up_s = time.monotonic() - started_s
    agreed_s = up_s + await wait_for_view(members, len(members))
    print(f"{len(members)} nodes, {len(half)} killed at once")
    print(f"dead on all survivors after {died_s:.2f} s")
    print(f"restarted at once, all answer after {up_s:.2f} s")
    print(f"all views agree after {agreed_s:.2f} s")


@app.command()
def freeze(nodes: int, pause_s: float = 30.0, data_centres: int = 3):
    """Pause one node and resume it; print when the views react and agree again."""
    fleet = make_fleet(nodes, data_centres)
    try:
        run_or_show_log(fleet, _run_freeze(fleet, pause_s))
    finally:
        fleet.members[0].node.send_signal(signal.SIGCONT)
        fleet.stop()


async def _run_freeze(fleet, pause_s):
    frozen, *others = fleet.members
    await wait_for_view(fleet.members, len(fleet.members), START_TIMEOUT_S)
    await asyncio.sleep(2)
    frozen.node.send_signal(signal.SIGSTOP)
    started_s = time.monotonic()
    dead_s = await wait_for_view(others, len(others))
    await asyncio.sleep(max(0.0, started_s + pause_s - time.monotonic()))
    frozen.node.send_signal(signal.SIGCONT)
    fewest = asyncio.create_task(_watch_fewest_nodes(frozen))
    agreed_s = await wait_for_view(fleet.members, len(fleet.members))
    print(f"{len(fleet.members)} nodes, one paused for {pause_s:.0f} s")
    print(f"dead on all others after {dead_s:.2f} s")
    print(f"all views agree {agreed_s:.2f} s after it was resumed")
    print(f"fewest live nodes in its view in the next 10 s: {await fewest}")


async def _watch_fewest_nodes(member, seconds=10.0):
    counts = []
    deadline_s = time.monotonic() + seconds
    while time.monotonic() < deadline_s:
        status = await get_status(member)
        if status is not None:
            counts.append(status["nodes"])
        await asyncio.sleep(POLL_S)
    return min(counts)


@app.command()
def churn(
    nodes: int,
    events_per_s: float = 20.0,
    seconds: float = 10.0,
    data_centres: int = 3,
    mesh: str = "",
):
    """Cost of each node while targets change their state at a fixed rate."""
    fleet = make_fleet(nodes, data_centres, mesh.replace(",", "\n"))
    try:
        run_or_show_log(fleet, _run_churn(fleet, events_per_s, seconds))
    finally:
        fleet.stop()


async def _run_churn(fleet, events_per_s, seconds):
    await wait_for_view(fleet.members, len(fleet.members), START_TIMEOUT_S)
    await asyncio.sleep(2)
    task = asyncio.create_task(_announce_all(fleet, events_per_s))
    costs = await measure_idle(fleet, seconds)
    task.cancel()
    agreed_s = await wait_for_view(fleet.members, len(fleet.members))
    print(f"{len(costs)} nodes, {events_per_s} announcements a second")
    print(f"views agree {agreed_s:.2f} s after the last event")
    _print_costs(costs)


async def _announce_all(fleet, events_per_s):
    states = itertools.cycle(("ready", "draining"))
    for number in itertools.count():
        member = fleet.members[number % len(fleet.members)]
        if number % len(fleet.members) == 0:
            state = next(states)
        announcement = Announcement(
            member.service,
            f"target-{member.node_id}",
            member.target_port,
            10,
            state,
            member.address,
        )
        url = f"{member.admin_url}/v1/targets"
        body = encode(announcement)
        await AsyncHTTPClient().fetch(url, method="POST", body=body)
        await asyncio.sleep(1 / events_per_s)


if __name__ == "__main__":
    app()
