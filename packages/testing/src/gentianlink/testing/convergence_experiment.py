"""Measure convergence, control bytes and platform reads with real node processes.

Run ``python -m gentianlink.testing.convergence_experiment --nodes 11``. In the
baseline, every node polls the platform itself once a second, and nodes send each other
no versions.
"""

import asyncio
import json
import os
import pathlib
import random
import statistics
import time

import attrs
import typer
from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from gentianlink.core.announcement import Announcement
from gentianlink.core.catalogue import Catalogue
from gentianlink.core.codec import encode
from gentianlink.core.entry import Entry
from gentianlink.core.service import Service
from gentianlink.core.work_class import WorkClass
from gentianlink.platform.object_client import ObjectClient
from gentianlink.platform.table_client import TableClient
from gentianlink.store.catalogue_store import CatalogueStore
from gentianlink.store.change_request import ChangeRequest
from gentianlink.testing.demo import get_status, wait_for
from gentianlink.testing.faults import Faults
from gentianlink.testing.fleet import Fleet, wait_or_kill

BASELINE_SETTINGS = "distribution = platform\nreaders = 100000\npoll_ms = 1000"
DATA_CENTRES = 3
ENTRIES = 50
TIMEOUT_MS = 5000
START_TIMEOUT_S = 120
SETTLE_S = 3.0
IDLE_S = 5.0
QUIET_CHANGES = 20
QUIET_PERIOD_S = 0.4
CHURN_EVENTS_PER_S = 20
STORE_DOWN_S = 2.0
KILL_ROUNDS = 3
SAMPLE_S = 0.5
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")

application = typer.Typer(add_completion=False)


@attrs.frozen
class Usage:
    """Resources that all nodes together have used since their start.

    Attributes
    ----------
    time_s : float
        Time of the reading on the monotonic clock in seconds.
    processor_s : float
        Processor time in seconds.
    bytes_by_kind : dict of str to int
        Bytes of messages between nodes.
    platform_reads, platform_bytes : int
        Reads of the platform, and bytes exchanged with it.
    """

    time_s: float
    processor_s: float
    bytes_by_kind: dict[str, int]
    platform_reads: int
    platform_bytes: int


def get_now_ms():
    """Return the wall clock in milliseconds since the epoch."""
    return time.time_ns() // 1_000_000


def read_processor_s(pid):
    """Return the processor time that a process has used, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def read_resident_mb(pid):
    """Return the resident memory of a process in megabytes."""
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * PAGE_BYTES / 1e6


def make_catalogue(number):
    """Return a catalogue in which one of the entries has a changed limit."""
    service = Service("inquiry", "branch")
    entries = []
    for index in range(ENTRIES):
        name = f"entry-{index:03}"
        entry = Entry(name, "branch", "inquiry", WorkClass.READ, f"/{name}")
        if index == number % ENTRIES:
            limits = attrs.evolve(entry.limits, deadline_ms=1000 + number)
            entry = attrs.evolve(entry, limits=limits)
        entries.append(entry)
    return Catalogue(0, (service,), tuple(entries))


class Experiment:
    """A running fleet and the changes made on it.

    Parameters
    ----------
    fleet : Fleet
        Fleet whose nodes run.
    """

    def __init__(self, fleet):
        self._fleet = fleet
        self._store = CatalogueStore(
            TableClient(f"{fleet.platform_url}/table", TIMEOUT_MS),
            ObjectClient(f"{fleet.platform_url}/objects", TIMEOUT_MS),
        )
        self._number = 0
        self._samples = []

    async def wait_started(self):
        """Wait until every node is ready and has all nodes as members."""
        members = self._fleet.members
        await wait_for(
            members,
            lambda status: status["ready"] and status["nodes"] == len(members),
            START_TIMEOUT_S,
        )

    async def change(self):
        """Accept one change and return its audit row, timed before the write."""
        self._number += 1
        base = await self._store.read_head()
        request = ChangeRequest(f"change-{self._number}", "experiment", "measure")
        catalogue = make_catalogue(self._number)
        return await self._store.accept(catalogue, base, request, get_now_ms())

    async def get_statuses(self):
        """Return the statuses of the nodes that answer."""
        work = (get_status(member) for member in self._fleet.members)
        return [status for status in await asyncio.gather(*work) if status]

    async def measure(self, changes):
        """Return the convergence time of each change in milliseconds.

        Parameters
        ----------
        changes : list of Change
            Changes that have had time to converge.

        Returns
        -------
        list of float
            Infinite for a change that is not in force on some node.
        """
        statuses = await self.get_statuses()
        applied = [
            {int(version): at_ms for version, at_ms in status["applied_ms"].items()}
            for status in statuses
        ]
        return [compute_last_ms(change, applied) for change in changes]

    async def read_usage(self):
        """Return the resources that all nodes together have used."""
        statuses = await self.get_statuses()
        kinds = {}
        for status in statuses:
            for kind, count in status["control_bytes"].items():
                kinds[kind] = kinds.get(kind, 0) + count
        return Usage(
            time_s=time.monotonic(),
            processor_s=sum(
                read_processor_s(member.node.pid) for member in self._fleet.members
            ),
            bytes_by_kind=kinds,
            platform_reads=sum(status["platform_reads"] for status in statuses),
            platform_bytes=sum(status["platform_bytes"] for status in statuses),
        )

    async def run_quiet(self):
        """Make changes with a pause after each, without churn or faults."""
        return await self._run_changes(QUIET_CHANGES, QUIET_PERIOD_S)

    async def run_slow(self):
        """Make one change a second."""
        return await self._run_changes(10, 1.0)

    async def run_fast(self):
        """Make ten changes a second."""
        return await self._run_changes(50, 0.1)

    async def run_churn(self):
        """Make changes while targets register and unregister."""
        churn = asyncio.create_task(self._churn())
        times = await self._run_changes(QUIET_CHANGES, QUIET_PERIOD_S)
        churn.cancel()
        return times

    async def run_kill(self):
        """Make changes while a tenth of the nodes is killed; measure the survivors."""
        times = []
        count = max(1, len(self._fleet.members) // 10)
        for _ in range(KILL_ROUNDS):
            killed = random.sample(self._fleet.members, count)
            change = await self.change()
            for member in killed:
                member.node.kill()
            await asyncio.sleep(SETTLE_S)
            times += await self.measure([change])
            for member in killed:
                wait_or_kill(member.node)
                self._fleet.start_node(member)
            await self.wait_started()
        return times

    async def run_store_down(self):
        """Make changes, each followed at once by an outage of the platform."""
        times = []
        for _ in range(KILL_ROUNDS):
            change = await self.change()
            await self._set_faults(Faults(down=True))
            await asyncio.sleep(STORE_DOWN_S)
            await self._set_faults(Faults())
            await asyncio.sleep(SETTLE_S)
            times += await self.measure([change])
        return times

    async def run_restart_half(self):
        """Kill half of the nodes, restart them together and make a change meanwhile."""
        count = len(self._fleet.members) // 2
        killed = random.sample(self._fleet.members, count)
        for member in killed:
            member.node.kill()
        for member in killed:
            wait_or_kill(member.node)
            self._fleet.start_node(member)
        started_s = time.monotonic()
        reads = asyncio.create_task(self._sample_reads())
        change = await self.change()
        await self.wait_started()
        ready_s = time.monotonic() - started_s
        reads.cancel()
        await asyncio.sleep(SETTLE_S)
        print(f"all ready and in all views after {ready_s:.1f} s; table reads in each")
        print(f"{SAMPLE_S} s: {' '.join(map(str, self._samples))}")
        return await self.measure([change])

    async def _sample_reads(self):
        self._samples = []
        before = await self._count_reads()
        while True:
            await asyncio.sleep(SAMPLE_S)
            now = await self._count_reads()
            self._samples.append(now - before)
            before = now

    async def _count_reads(self):
        response = await AsyncHTTPClient().fetch(f"{self._fleet.platform_url}/counts")
        return json.loads(response.body)["reads"]

    async def _run_changes(self, count, period_s):
        changes = []
        for _ in range(count):
            started_s = time.monotonic()
            changes.append(await self.change())
            await asyncio.sleep(max(0, started_s + period_s - time.monotonic()))
        await asyncio.sleep(SETTLE_S)
        return await self.measure(changes)

    async def _set_faults(self, faults):
        for service in ("table", "objects"):
            url = f"{self._fleet.platform_url}/faults/{service}"
            await AsyncHTTPClient().fetch(url, method="PUT", body=encode(faults))

    async def _churn(self):
        number = 0
        while True:
            number += 1
            member = random.choice(self._fleet.members)
            name = f"target-{member.node_id}"
            try:
                await self._announce(member, name, number)
            except (HTTPClientError, OSError):
                continue
            await asyncio.sleep(1 / CHURN_EVENTS_PER_S)

    async def _announce(self, member, name, number):
        url = f"{member.admin_url}/v1/targets"
        if number % 2:
            body = encode(
                Announcement(
                    service="inquiry",
                    target_id=name,
                    address=member.address,
                    port=member.target_port,
                    slots=10,
                    state="ready",
                )
            )
            await AsyncHTTPClient().fetch(url, method="POST", body=body)
        else:
            await AsyncHTTPClient().fetch(f"{url}/{name}", method="DELETE")


def compute_last_ms(change, applied):
    """Return the time from acceptance until the version is in force on all nodes.

    Parameters
    ----------
    change : Change
        The change.
    applied : list of dict of int to int
        For each node, the time at which each version came into force.

    Returns
    -------
    float
        Milliseconds; infinite if a node has neither the version nor a later one.
    """
    last_ms = 0.0
    for times in applied:
        reached_ms = [
            at_ms for version, at_ms in times.items() if version >= change.version
        ]
        if not reached_ms:
            return float("inf")
        last_ms = max(last_ms, min(reached_ms) - change.when_ms)
    return last_ms


def format_times(times):
    """Return the p50, p99 and maximum of times as text."""
    ordered = sorted(times)
    p99 = ordered[min(len(ordered) - 1, int(0.99 * len(ordered)))]
    return f"{statistics.median(ordered):7.0f} {p99:7.0f} {ordered[-1]:7.0f}"


def print_usage(name, before, after, nodes):
    """Print the mean usage of a node per second."""
    seconds = after.time_s - before.time_s
    share = 100 * (after.processor_s - before.processor_s) / seconds / nodes
    kinds = {
        kind: (count - before.bytes_by_kind.get(kind, 0)) / seconds / nodes
        for kind, count in after.bytes_by_kind.items()
    }
    sent = sum(rate for kind, rate in kinds.items() if kind.startswith("sent"))
    reads = (after.platform_reads - before.platform_reads) / seconds
    platform = (after.platform_bytes - before.platform_bytes) / seconds / nodes
    print(f"{name:12} a node and second: {share:.2f}% of a core, sent {sent:.0f} B,")
    print(f"{'':12} platform {platform:.0f} B; all nodes: {reads:.1f} reads/s")
    parts = [f"{kind} {rate:.0f}" for kind, rate in sorted(kinds.items()) if rate >= 1]
    print(f"{'':12} {', '.join(parts)}", flush=True)


async def run_experiment(fleet, rows):
    """Run load patterns and print the results of each.

    Parameters
    ----------
    fleet : Fleet
        Fleet whose nodes run.
    rows : list of str
        Names of load patterns, each run by the method ``run_NAME``.
    """
    experiment = Experiment(fleet)
    nodes = len(fleet.members)
    await experiment.wait_started()
    await experiment.change()
    await asyncio.sleep(SETTLE_S)
    resident = [read_resident_mb(member.node.pid) for member in fleet.members]
    print(f"{nodes} nodes, {statistics.mean(resident):.0f} MB each")
    before = await experiment.read_usage()
    await asyncio.sleep(IDLE_S)
    print_usage("idle", before, await experiment.read_usage(), nodes)
    for row in rows:
        before = await experiment.read_usage()
        times = await getattr(experiment, f"run_{row}")()
        print(f"{row:12} ms p50 p99 max: {format_times(times)}  ({len(times)} changes)")
        if row not in ("kill", "restart_half"):
            print_usage(row, before, await experiment.read_usage(), nodes)


@application.command()
def main(
    nodes: int = typer.Option(11, help="Number of nodes."),
    rows: str = typer.Option(
        "quiet,churn,kill,store_down,slow,fast",
        help="Load patterns, separated by commas.",
    ),
    baseline: bool = typer.Option(False, help="Every node reads the platform itself."),
    settings: str = typer.Option(
        "", help="Lines of the section mesh, separated by ';'."
    ),
):
    """Print convergence times and resource usage."""
    lines = BASELINE_SETTINGS if baseline else settings.replace(";", "\n")
    fleet = Fleet("region", lines)
    fleet.start_platform()
    for number in range(nodes):
        fleet.add_member("inquiry", number, number % DATA_CENTRES + 1)
    try:
        for member in fleet.members:
            fleet.start_node(member)
        asyncio.run(run_experiment(fleet, [row for row in rows.split(",") if row]))
    finally:
        fleet.stop()


if __name__ == "__main__":
    application()
