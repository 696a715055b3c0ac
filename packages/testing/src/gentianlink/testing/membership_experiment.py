"""Measure what membership costs a node, and how fast failures are seen.

Run ``python -m gentianlink.testing.membership_experiment --help``.
"""

import asyncio
import itertools
import os
import pathlib
import random
import statistics
import time

import attrs
import typer
from tornado.httpclient import AsyncHTTPClient

from gentianlink.core.announcement import Announcement
from gentianlink.core.catalogue import Catalogue
from gentianlink.core.codec import encode
from gentianlink.core.entry import Entry
from gentianlink.core.node_record import NodeRecord
from gentianlink.core.service import Service
from gentianlink.core.target_record import TargetRecord
from gentianlink.core.target_state import TargetState
from gentianlink.core.work_class import WorkClass
from gentianlink.node.membership import Membership
from gentianlink.node.mesh import mesh_pb2
from gentianlink.node.mesh.convert import decode_records, encode_records
from gentianlink.node.table_builder import TableBuilder
from gentianlink.ops.build_table import build_table
from gentianlink.ops.choose_neighbours import LinkNumbers, NeighbourChooser
from gentianlink.ops.membership import BUCKETS
from gentianlink.testing.demo import get_status, wait_for
from gentianlink.testing.fleet import Fleet

START_TIMEOUT_S = 60
VIEW_TIMEOUT_S = 60
POLL_S = 0.05
INCARNATION = 1_790_000_000_000
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
    """Wait until all members hold the same records of so many live nodes.

    Parameters
    ----------
    members : list of Member
        Members whose nodes run.
    nodes : int
        Number of live nodes.
    timeout_s : float, optional
        Bound in seconds.

    Returns
    -------
    float
        Time that it took in seconds.

    Raises
    ------
    TimeoutError
        If the views do not agree in time.
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
        Length of the measurement.

    Returns
    -------
    list of tuple of float
        Processor share in percent, kilobytes sent and received a second, resident
        memory in megabytes and number of links, of each node.
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
    """Run a measurement; if it takes too long, show the end of the log.

    Parameters
    ----------
    fleet : Fleet
        The running fleet.
    work : coroutine
        The measurement.

    Raises
    ------
    TimeoutError
        If the measurement takes too long.
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
    """Kill half of the nodes at once, start them at once, wait until views agree."""
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
def churn(
    nodes: int,
    events_per_s: float = 20.0,
    seconds: float = 10.0,
    data_centres: int = 3,
    mesh: str = "",
):
    """Cost of each node while targets change their state all the time."""
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


def make_records(nodes, services, regions=6, data_centres=19):
    """Return records of a large fleet with one target beside each node.

    Parameters
    ----------
    nodes, services, regions, data_centres : int
        Sizes.

    Returns
    -------
    nodes : list of NodeRecord
        Records of nodes.
    targets : list of TargetRecord
        Records of targets.
    """
    node_records = []
    target_records = []
    for number in range(nodes):
        data_centre = number % data_centres
        region = f"region-{data_centre % regions}"
        node_id = f"node-{number:05d}"
        address = f"10.{data_centre}.{number // 250}.{number % 250}"
        place = (region, f"{region}-{data_centre}", address, 7000, 7001, 7002)
        node_records.append(NodeRecord(node_id, INCARNATION, 1, *place))
        names = (f"service-{number % services}", f"target-{number:05d}", node_id)
        target_records.append(
            TargetRecord(*names, INCARNATION, 1, TargetState.READY, 10)
        )
    return node_records, target_records


def make_catalogue(services, entries_each=2):
    """Return a catalogue of so many services with some entries each."""
    names = [f"service-{number}" for number in range(services)]
    entries = tuple(
        Entry(f"{name}-{number}", "owner", name, WorkClass.READ, f"/{name}/{number}")
        for name in names
        for number in range(entries_each)
    )
    return Catalogue(1, tuple(Service(name, "owner") for name in names), entries)


def measure_ms(work, repetitions):
    """Return the processor time of one of several calls in milliseconds."""
    started_s = time.process_time()
    for number in range(repetitions):
        work(number)
    return 1000 * (time.process_time() - started_s) / repetitions


@app.command()
def sizes(nodes: int = 4700, services: int = 120):
    """Cost of records, merges, tables and choices at a size, in this process."""
    before_mb = read_resident_mb(os.getpid())
    node_records, target_records = make_records(nodes, services)
    own = node_records[0]
    membership = Membership(own, lambda *change: None)
    started_s = time.process_time()
    for record, target in zip(node_records, target_records, strict=True):
        membership.merge([record], [] if record is own else [target], 0)
    merged_ms = 1000 * (time.process_time() - started_s)
    records = 2 * nodes
    resident_mb = read_resident_mb(os.getpid()) - before_mb
    print(f"{nodes} nodes, {services} services, {records} records")
    print(f"memory of all records      {resident_mb:8.2f} MB")
    print(f"memory of a record         {1e6 * resident_mb / records:8.0f} bytes")
    print(f"merge of a new record      {merged_ms / records:8.4f} ms")
    _measure_news(membership, target_records)
    _measure_table(membership, target_records, make_catalogue(services))
    _measure_periodic(membership, own)


def _measure_news(membership, target_records):
    news = [attrs.evolve(record, sequence=2) for record in target_records[1:]]
    merge_ms = measure_ms(lambda number: membership.merge([], [news[number]], 0), 2000)
    again_ms = measure_ms(lambda number: membership.merge([], [news[number]], 0), 2000)
    frame = encode_records([], news[:1])
    encode_ms = measure_ms(lambda number: encode_records([], [news[number]]), 2000)
    decode_ms = measure_ms(lambda _: decode_records(frame.records), 2000)
    node_bytes = encode_records([membership.own_record], []).ByteSize()
    print(f"merge of a later record    {merge_ms:8.4f} ms")
    print(f"merge of a known record    {again_ms:8.4f} ms")
    print(f"encoding of a record       {encode_ms:8.4f} ms")
    print(f"decoding of a record       {decode_ms:8.4f} ms")
    print(f"node record on the wire    {node_bytes:8d} bytes")
    print(f"target record on the wire  {frame.ByteSize():8d} bytes")


def _measure_table(membership, target_records, catalogue):
    nodes, targets = membership.nodes, membership.targets
    builder = TableBuilder(membership)
    builder.build(catalogue)

    def build_after_change(number):
        record = attrs.evolve(target_records[number + 1], sequence=3)
        membership.merge([], [record], 0)
        builder.build(catalogue)

    whole_ms = measure_ms(lambda _: build_table(catalogue, nodes, targets), 10)
    change_ms = measure_ms(build_after_change, 500)
    print(f"whole table                 {whole_ms:8.3f} ms")
    print(f"merge and table of a change {change_ms:8.3f} ms")


def _measure_periodic(membership, own):
    chooser = NeighbourChooser(own, LinkNumbers(2, 1, 1))
    live = membership.get_live_nodes()
    first_ms = measure_ms(lambda _: chooser.choose(live), 1)
    again_ms = measure_ms(lambda _: chooser.choose(live), 20)
    live_ms = measure_ms(lambda _: membership.get_live_nodes(), 100)
    check_ms = measure_ms(membership.check, 1000)
    digests = mesh_pb2.RecordDigests(digests=membership.buckets.digests)
    largest = max(len(membership.buckets.get_records(n)) for n in range(BUCKETS))
    print(f"first choice of neighbours {first_ms:8.3f} ms")
    print(f"next choice                {again_ms:8.3f} ms")
    print(f"list of live nodes         {live_ms:8.3f} ms")
    print(f"check of timers            {check_ms:8.4f} ms")
    print(f"digests of all buckets     {digests.ByteSize():8d} bytes")
    print(f"records in largest bucket  {largest:8d}")


if __name__ == "__main__":
    app()
