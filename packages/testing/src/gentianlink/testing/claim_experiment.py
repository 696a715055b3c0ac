"""Measure throughput and latency of claims for several writers of claim rows.

A stand-in of the table service runs as a process with the limits of the platform. Four
nodes run in the process of the experiment. Each call claims its key and records a small
answer; nothing is executed in between. ``by way of 8 nodes`` shares eight writers
between 400 nodes and leaves out the hop to them. ``saturated`` keeps a fixed number of
calls open; ``steady`` starts calls at a fixed rate. ``leased`` is an upper bound: a
node renews the lease of one row a second and claims the keys of its range in memory.
"""

import asyncio
import json
import time
import uuid

import attrs
import typer
import uvloop
from tornado.httpclient import AsyncHTTPClient, HTTPError

from gentianlink.core.codec import encode
from gentianlink.core.errors import PlatformError, WriteConflict
from gentianlink.core.row import Row
from gentianlink.node.claims.claim import Claim
from gentianlink.node.claims.claim_counts import ClaimCounts
from gentianlink.node.claims.claim_state import ClaimState
from gentianlink.node.claims.claim_table import ClaimTable
from gentianlink.node.claims.direct_writer import DirectWriter
from gentianlink.node.claims.errors import ClaimError
from gentianlink.node.claims.group_writer import GroupWriter
from gentianlink.node.claims.held_claim import HeldClaim
from gentianlink.node.claims.recorded_answer import RecordedAnswer
from gentianlink.node.claims.settler import Settler
from gentianlink.platform.table_client import TableClient
from gentianlink.testing.fleet import Fleet
from gentianlink.testing.table_limits import TableLimits

NODES = 4
SATURATED_CALLS = 400
STEADY_CALLS_PER_S = 60
RENEW_S = 1.0
TABLE_TIMEOUT_MS = 2000
ANSWER = RecordedAnswer(200, (("Content-Type", "application/json"),), "{}" * 50)


@attrs.frozen
class WriterVariant:
    """A writer of claim rows and the deployment to measure it in."""

    name: str
    make_writer: object
    count_rows: bool = False
    repeat_share: float = 0.0
    nodes: int = NODES
    writers: int = NODES


class LeasedWriter:
    """Writes claims in memory under a lease on a key range; not durable."""

    def __init__(self, table):
        self._table = table
        self._rows = {}
        self._key = f"range/{uuid.uuid4().hex}"
        self._revision = 0
        self._lease = asyncio.Lock()
        self._expires_s = 0.0

    async def put(self, key, value, revision):
        """Write a row in memory; renew the lease first if it has expired."""
        async with self._lease:
            if time.monotonic() >= self._expires_s:
                await self._renew()
        if self._rows.get(key, 0) != revision:
            raise WriteConflict(key, self._rows[key])
        self._rows[key] = revision + 1
        return revision + 1

    async def _renew(self):
        check = Row(self._key, self._revision, "")
        self._revision = await self._table.transact([(self._key, "held")], [check])
        self._expires_s = time.monotonic() + RENEW_S


@attrs.define
class Measurements:
    """Latencies and counts of one run."""

    latencies_ms: list = attrs.field(factory=list)
    refused: int = 0
    repeats: int = 0

    def get_quantile(self, share):
        """Return a quantile of the claim latency in milliseconds."""
        ordered = sorted(self.latencies_ms) or [float("nan")]
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


class Caller:
    """Sends claims and results through several nodes.

    Parameters
    ----------
    url : str
        URL of the table service.
    variant : WriterVariant
        Writer of claim rows and number of nodes.
    """

    def __init__(self, url, variant):
        self._variant = variant
        self._settler = Settler(1_000_000, ClaimCounts(), lambda: None)
        self.measurements = Measurements()
        client = TableClient(url, TABLE_TIMEOUT_MS)
        writers = [variant.make_writer(client) for _ in range(variant.writers)]
        self._tables = [
            ClaimTable(client, writers[number % variant.writers])
            for number in range(variant.nodes)
        ]
        self._number = 0
        self._prefix = uuid.uuid4().hex

    async def call(self):
        """Claim one key and record its answer."""
        self._number += 1
        number = self._number
        repeat_every = (
            int(1 / self._variant.repeat_share) if self._variant.repeat_share else 0
        )
        if repeat_every and number % repeat_every == 0:
            number = max(1, number - SATURATED_CALLS - 1)
        table = self._tables[number % self._variant.nodes]
        claim = Claim("digest" * 10, uuid.uuid4().hex, "node", 1, 1)
        started_s = time.monotonic()
        try:
            result = await table.acquire(f"claim/{self._prefix}-{number}", claim)
        except ClaimError:
            self.measurements.refused += 1
            await asyncio.sleep(0.1)
            return
        self.measurements.latencies_ms.append((time.monotonic() - started_s) * 1000)
        if not isinstance(result, HeldClaim):
            self.measurements.repeats += 1
            return
        try:
            await table.write_result(result, ClaimState.DONE, ANSWER)
        except PlatformError:
            self._settler.start(
                lambda: table.write_result(result, ClaimState.DONE, ANSWER)
            )

    async def run_saturated(self, seconds):
        """Keep a fixed number of calls open for a number of seconds."""
        end_s = time.monotonic() + seconds

        async def repeat():
            while time.monotonic() < end_s:
                await self.call()

        await asyncio.gather(*(repeat() for _ in range(SATURATED_CALLS)))

    async def run_steady(self, seconds):
        """Start calls at a fixed rate for a number of seconds."""
        start_s = time.monotonic()
        tasks = []
        for number in range(int(seconds * STEADY_CALLS_PER_S)):
            due_s = start_s + number / STEADY_CALLS_PER_S
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            tasks.append(asyncio.create_task(self.call()))
        await asyncio.gather(*tasks)


async def set_limits(url, limits):
    """Set the limits of the stand-in; retry until it answers."""
    for _ in range(200):
        try:
            await AsyncHTTPClient().fetch(
                f"{url}/limits/table", method="PUT", body=encode(limits)
            )
            return
        except (HTTPError, OSError):
            await asyncio.sleep(0.05)
    raise TimeoutError(url)


async def get_writes(url):
    """Return the number of write transactions that the stand-in has run."""
    response = await AsyncHTTPClient().fetch(f"{url}/counts")
    return json.loads(response.body)["writes"]


async def measure(url, variant, load, seconds, writes_per_s):
    """Measure one variant under one load and print one line of results."""
    limits = TableLimits(writes_per_s, 2000, 1000, variant.count_rows)
    await set_limits(url, limits)
    caller = Caller(f"{url}/table", variant)
    before = await get_writes(url)
    started_s = time.monotonic()
    cpu_started_s = time.process_time()
    await getattr(caller, f"run_{load}")(seconds)
    elapsed_s = time.monotonic() - started_s
    cpu_s = time.process_time() - cpu_started_s
    writes = await get_writes(url) - before
    measurements = caller.measurements
    claims = len(measurements.latencies_ms)
    unit = "row" if variant.count_rows else "transaction"
    print(
        f"{variant.name:28} {unit:12} {load:10} {claims / elapsed_s:9.0f}"
        f" {measurements.get_quantile(0.5):8.1f} {measurements.get_quantile(0.99):8.1f}"
        f" {measurements.refused:8} {measurements.repeats:8} {writes / elapsed_s:9.0f}"
        f" {cpu_s / max(1, claims) * 1000:7.2f}",
        flush=True,
    )


def get_variants():
    """Return the variants to compare."""

    def group(rows, wait_ms):
        return lambda table: GroupWriter(table, rows, wait_ms)

    return [
        WriterVariant("one write a call", DirectWriter),
        WriterVariant("group 8 rows 2 ms", group(8, 2)),
        WriterVariant("group 64 rows 0 ms", group(64, 0)),
        WriterVariant("group 64 rows 2 ms", group(64, 2)),
        WriterVariant("group 64 rows 10 ms", group(64, 10)),
        WriterVariant("group 256 rows 10 ms", group(256, 10)),
        WriterVariant("group 64 rows 0 ms, repeats", group(64, 0), False, 0.05),
        WriterVariant("same, 400 nodes", group(64, 0), nodes=400, writers=400),
        WriterVariant("same, by way of 8 nodes", group(64, 0), nodes=400, writers=8),
        WriterVariant("one write a call", DirectWriter, True),
        WriterVariant("group 64 rows 0 ms", group(64, 0), True),
        WriterVariant("leased ranges (bound)", LeasedWriter),
    ]


async def run(seconds, writes_per_s):
    """Measure every variant under both loads."""
    fleet = Fleet("claims")
    fleet.start_platform()
    AsyncHTTPClient(max_body_size=64 << 20, max_clients=1000)
    header = ("way", "counted", "load", "claims/s", "p50 ms", "p99 ms")
    print(
        "{:28} {:12} {:10} {:>9} {:>8} {:>8}".format(*header),
        "refused  repeats  writes/s  cpu ms",
    )
    try:
        for variant in get_variants():
            for load in ("saturated", "steady"):
                await measure(fleet.platform_url, variant, load, seconds, writes_per_s)
    finally:
        fleet.stop()


def main(seconds: float = 3.0, writes_per_s: float = 300.0):
    """Run the experiment."""
    uvloop.run(run(seconds, writes_per_s))


if __name__ == "__main__":
    typer.run(main)
