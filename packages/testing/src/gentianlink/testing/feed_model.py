"""A seeded simulation of the feeds of one data centre, in virtual time.

The feeds, readers' endpoints and versions are the product's own. An operator writes
versions in series while the source of some nodes fails in one way. The nodes hear of
versions only through their feeds, not through calls or the exchange of state.

``python -m gentianlink.testing.feed_model`` prints for each way in which a source fails
how old the version of a node got.
"""

import asyncio
import bisect
import logging
import random
import statistics
from unittest import mock

import structlog
import typer

from gentianlink.core.errors import PlatformOutcomeUnknown, PlatformUnavailable
from gentianlink.core.row_change import RowChange
from gentianlink.core.row_changes import RowChanges
from gentianlink.platform.wire import CATALOGUE_KEY
from gentianlink.sidecar import rule_feed
from gentianlink.sidecar.exchange.peer_endpoint import make_peer_handler
from gentianlink.sidecar.exchange.peer_paths import (
    FOLLOW_PATH_PREFIX,
    FOLLOW_TIMEOUT_MS,
    PREFIXES,
    RULES_FORMS,
)
from gentianlink.sidecar.peer_directory import PeerDirectory
from gentianlink.sidecar.peer_record import PeerRecord
from gentianlink.sidecar.poll_margin import MAX_MARGIN_MS
from gentianlink.sidecar.reader_selector import READERS_PER_DATA_CENTRE, ReaderSelector
from gentianlink.sidecar.rule_feed import RuleFeed
from gentianlink.sidecar.rule_holder import RuleHolder
from gentianlink.sidecar.status import STATUS_OK
from gentianlink.testing.sidecar_world import encode_catalogue, make_rule
from gentianlink.testing.virtual_loop import get_virtual_ms, run_virtual

LINK_MBPS = 100.0
NODES = 6
START_S = 1.0
FAULT_S = 10.0
LENGTH_S = 16.0
PERIODS_S = (0.12, 0.3, 0.5, 1.0, 3.0)
SLOW_S = 0.5
SAMPLE_S = 0.01
FOLLOW_TIMEOUT_S = FOLLOW_TIMEOUT_MS / 1000


class ModelOperator:
    """Writes versions and remembers when each was confirmed."""

    def __init__(self):
        self._versions = []
        self._written_s = []
        self.holder = RuleHolder()
        self.row = None

    def write(self, version):
        """Write one version; it is confirmed at once."""
        rules = [make_rule(f"r{version}", f"/v{version}/", "inquiry")]
        data = encode_catalogue(version, rules)
        self.holder.install_version(data, "operator")
        self.row = RowChange(CATALOGUE_KEY, version, data, False)
        self._versions.append(version)
        self._written_s.append(asyncio.get_running_loop().time())

    async def write_series(self, versions, period_s):
        """Write versions with a fixed time in seconds between two of them."""
        for version in versions:
            self.write(version)
            await asyncio.sleep(period_s)

    def compute_delay_s(self, version):
        """Return for how long the version after the given one has been confirmed."""
        index = bisect.bisect_right(self._versions, version)
        if index == len(self._versions):
            return 0.0
        return asyncio.get_running_loop().time() - self._written_s[index]


class ModelTable:
    """The operator's table as one node reaches it."""

    def __init__(self, operator):
        self._operator = operator
        self._is_silent = False
        self._silences = 0
        self.is_refusing = False
        self.delay_s = 0.0

    @property
    def is_silent(self):
        """Whether calls that begin now, and those under way, are never answered."""
        return self._is_silent

    @is_silent.setter
    def is_silent(self, is_silent):
        self._is_silent = is_silent
        self._silences += is_silent

    async def read_all(self):
        """Return the operator's row."""
        await self._answer(MAX_MARGIN_MS, self.is_silent)
        return RowChanges((self._operator.row,), self._operator.row.revision)

    async def wait_for_changes(self, revision, era, wait_ms, margin_ms):
        """Return the operator's row once it has changed."""
        silences = self._silences
        is_lost = self.is_silent
        started_s = asyncio.get_running_loop().time()
        newer = await self._operator.holder.wait_for_newer(revision, wait_ms / 1000)
        if is_lost or self._silences != silences:
            is_lost = True
            elapsed_s = asyncio.get_running_loop().time() - started_s
            await asyncio.sleep(wait_ms / 1000 - elapsed_s)
        await self._answer(margin_ms, is_lost)
        rows = (self._operator.row,) if newer else ()
        return RowChanges(rows, self._operator.row.revision)

    async def _answer(self, timeout_ms, is_lost):
        if self.is_refusing:
            raise PlatformUnavailable("status 503")
        if is_lost:
            # The connection stays silent, also once the service answers new ones.
            await asyncio.sleep(timeout_ms / 1000)
            raise PlatformOutcomeUnknown("timed out")
        if self.delay_s > timeout_ms / 1000:
            await asyncio.sleep(timeout_ms / 1000)
            raise PlatformOutcomeUnknown("timed out")
        await asyncio.sleep(self.delay_s)


class ModelFeeds:
    """Nodes of one data centre, each with its own way to the table.

    Parameters
    ----------
    operator : ModelOperator
        Writes the versions.
    count : int
        Number of nodes; the first ones are the readers.
    """

    def __init__(self, operator, count):
        records = [
            PeerRecord(f"n-{number}", 1, 0, "a", f"n-{number}", f"n-{number}")
            for number in range(count)
        ]
        self.tables = [ModelTable(operator) for _ in records]
        self.holders = [RuleHolder() for _ in records]
        self.silent_nodes = set()
        self.dead_nodes = set()
        self._handlers = {}
        self.feeds = []
        for own, table, holder in zip(records, self.tables, self.holders, strict=True):
            directory = PeerDirectory(own)
            for record in records:
                directory.update_record(record, 0.0)
            selector = ReaderSelector(directory)
            feed = RuleFeed(table, holder, selector, self, LINK_MBPS)
            self.feeds.append(feed)
            handler = make_peer_handler(None, holder, feed, None, 1)
            self._handlers[own.node_id] = handler

    def announce_version(self):
        """Tell nothing to other data centres; there are none in this model."""

    async def follow_rules(self, record, version):
        """Long-poll a node for a version newer than the given one."""
        if record.node_id in self.dead_nodes:
            raise PlatformUnavailable("no connection")
        if record.node_id in self.silent_nodes:
            await asyncio.sleep(FOLLOW_TIMEOUT_S)
            raise PlatformOutcomeUnknown("timed out")
        handler = self._handlers[record.node_id]
        prefix = PREFIXES[RULES_FORMS[0]]
        reply = await handler("GET", f"{prefix}{FOLLOW_PATH_PREFIX}{version}", b"")
        if reply.status != STATUS_OK:
            raise PlatformUnavailable(f"status {reply.status}")
        return reply.body


def _silence_table(feeds, number, is_failing):
    feeds.tables[number].is_silent = is_failing


def _refuse_at_table(feeds, number, is_failing):
    feeds.tables[number].is_refusing = is_failing


def _slow_table(feeds, number, is_failing):
    feeds.tables[number].delay_s = SLOW_S if is_failing else 0.0


def _silence_node(feeds, number, is_failing):
    _set_membership(feeds.silent_nodes, f"n-{number}", is_failing)


def _kill_node(feeds, number, is_failing):
    _set_membership(feeds.dead_nodes, f"n-{number}", is_failing)


def _set_membership(names, name, is_member):
    (names.add if is_member else names.discard)(name)


# Ways in which one of the readers fails its followers.
FAULTS = {
    "table silent": _silence_table,
    "table refuses": _refuse_at_table,
    "table slow": _slow_table,
    "reader silent": _silence_node,
    "reader dead": _kill_node,
}


def run_feed_model(fault, seed):
    """Simulate a series of versions while one reader fails.

    Parameters
    ----------
    fault : str
        One of :data:`FAULTS`.
    seed : int
        Seed of the reader, the time of the fault, and the series.

    Returns
    -------
    float
        Longest time in seconds for which a confirmed version was not in force at a node
        that reaches the table.
    """
    with mock.patch.object(rule_feed, "get_monotonic_ms", get_virtual_ms):
        return run_virtual(_simulate(FAULTS[fault], random.Random(seed)))


async def _simulate(set_fault, rng):
    operator = ModelOperator()
    operator.write(1)
    feeds = ModelFeeds(operator, NODES)
    tasks = [asyncio.create_task(feed.run()) for feed in feeds.feeds]
    await asyncio.sleep(START_S)
    victim = rng.randrange(READERS_PER_DATA_CENTRE)
    writing = operator.write_series(range(2, 10_000), rng.choice(PERIODS_S))
    tasks.append(asyncio.create_task(writing))
    tasks.append(asyncio.create_task(_run_fault(set_fault, feeds, victim, rng)))
    others = [item for n, item in enumerate(feeds.holders) if n != victim]
    delays_s = [measure_delay_s(operator, holder, LENGTH_S) for holder in others]
    longest_s = max(await asyncio.gather(*delays_s))
    for task in tasks:
        task.cancel()
    return longest_s


async def _run_fault(set_fault, feeds, victim, rng):
    await asyncio.sleep(rng.uniform(0.0, 2.0))
    set_fault(feeds, victim, True)
    await asyncio.sleep(rng.uniform(1.0, FAULT_S))
    set_fault(feeds, victim, False)


async def measure_delay_s(operator, holder, length_s):
    """Return the longest time in seconds for which a version was not in force."""
    longest_s = 0.0
    end_s = asyncio.get_running_loop().time() + length_s
    while asyncio.get_running_loop().time() < end_s:
        longest_s = max(longest_s, operator.compute_delay_s(holder.version))
        await asyncio.sleep(SAMPLE_S)
    return longest_s


def main(seeds: int = 50):
    """Print the longest and the median delay over a number of seeds for each fault."""
    level = logging.ERROR
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(level))
    for fault in FAULTS:
        delays_s = [run_feed_model(fault, seed) for seed in range(1, seeds + 1)]
        median_s = statistics.median(delays_s)
        print(f"{fault}: {max(delays_s):.2f} s, median {median_s:.2f} s", flush=True)


if __name__ == "__main__":
    typer.run(main)
