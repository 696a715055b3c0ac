"""The feed under faults of its source, in virtual time."""

import asyncio

import pytest

from gentianlink.core.errors import PlatformOutcomeUnknown, PlatformUnavailable
from gentianlink.core.row_change import RowChange
from gentianlink.core.row_changes import RowChanges
from gentianlink.platform.table_client import LONG_POLL_MARGIN_MS
from gentianlink.platform.wire import CATALOGUE_KEY
from gentianlink.sidecar import rule_feed
from gentianlink.sidecar.peer_directory import PeerDirectory
from gentianlink.sidecar.peer_endpoint import make_peer_handler
from gentianlink.sidecar.peer_exchange import FOLLOW_PATH_PREFIX
from gentianlink.sidecar.peer_record import PeerRecord
from gentianlink.sidecar.reader_selector import ReaderSelector
from gentianlink.sidecar.rule_feed import RuleFeed
from gentianlink.sidecar.rule_holder import RuleHolder
from gentianlink.sidecar.status import STATUS_OK
from gentianlink.testing.sidecar_world import encode_catalogue, make_rule
from gentianlink.testing.virtual_loop import get_virtual_ms, run_virtual

# A confirmed version must be in force at every node within this time.
APPLY_S = 2.0
CHECK_PERIOD_S = 0.1
LINK_MBPS = 100.0


@pytest.fixture(autouse=True)
def virtual_clock(monkeypatch):
    monkeypatch.setattr(rule_feed, "get_monotonic_ms", get_virtual_ms)


class Operator:
    """Writes versions and remembers when; any node that is asked has the newest."""

    def __init__(self):
        self.written_s = {}
        self.holder = RuleHolder()
        self.row = None

    def write(self, version):
        rules = [make_rule(f"r{version}", f"/v{version}/", "inquiry")]
        data = encode_catalogue(version, rules)
        self.holder.install_version(data, "test")
        self.row = RowChange(CATALOGUE_KEY, version, data, False)
        self.written_s[version] = asyncio.get_running_loop().time()

    async def write_series(self, versions, period_s):
        for version in versions:
            self.write(version)
            await asyncio.sleep(period_s)

    async def fetch_rules(self, version):
        return self.holder.encode_since(version)

    def get_newest_version(self):
        return self.holder.version

    def compute_delay_s(self, version):
        """Return for how long the version after the given one has been confirmed."""
        later = [at for number, at in self.written_s.items() if number > version]
        return asyncio.get_running_loop().time() - min(later) if later else 0.0


class Table:
    """The operator's table as one node reaches it; silent while `is_silent` is set."""

    def __init__(self, operator):
        self._operator = operator
        self.is_silent = False

    async def read_all(self):
        return RowChanges((self._operator.row,), self._operator.row.revision)

    async def wait_for_changes(self, revision, era, wait_ms):
        try:
            async with asyncio.timeout((wait_ms + LONG_POLL_MARGIN_MS) / 1000):
                newer = await self._operator.holder.wait_for_newer(
                    revision, wait_ms / 1000
                )
                if self.is_silent:
                    await asyncio.Event().wait()
        except TimeoutError as error:
            raise PlatformOutcomeUnknown("timed out") from error
        rows = (self._operator.row,) if newer else ()
        return RowChanges(rows, self._operator.row.revision)


class FeedWorld:
    """Nodes of one data centre, each with its own way to the table.

    The nodes hear of versions only through their feeds.
    """

    def __init__(self, operator, count):
        records = [
            PeerRecord(f"n-{number}", 1, 0, "a", f"n-{number}", f"n-{number}")
            for number in range(count)
        ]
        self.tables = [Table(operator) for _ in records]
        self.holders = [RuleHolder() for _ in records]
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

    async def follow_rules(self, record, version):
        handler = self._handlers[record.node_id]
        reply = await handler("GET", f"{FOLLOW_PATH_PREFIX}{version}", b"")
        if reply.status != STATUS_OK:
            raise PlatformUnavailable(f"status {reply.status}")
        return reply.body


async def measure_longest_delay_s(operator, holder, duration_s):
    longest_s = 0.0
    async with asyncio.timeout(duration_s + 1.0):
        while asyncio.get_running_loop().time() < duration_s:
            longest_s = max(longest_s, operator.compute_delay_s(holder.version))
            await asyncio.sleep(0.01)
    return longest_s


class TestSilentSource:
    """The source of versions answers nothing, but other nodes have newer versions."""

    @pytest.mark.parametrize("period_s", [0.02, 0.12, 0.3, 0.5, 3.0])
    def test_series_of_versions_does_not_postpone_the_fetch_from_a_peer(self, period_s):
        # Guards against a grace period that each newer version restarts (CONFIG).
        async def run_scenario():
            operator = Operator()
            operator.write(1)
            holder = RuleHolder()
            holder.install_delta(operator.holder.encode_since(0), "test")
            feed = RuleFeed(None, holder, None, operator, LINK_MBPS)
            tasks = [
                asyncio.create_task(
                    feed.run_peers(operator.get_newest_version, CHECK_PERIOD_S)
                ),
                asyncio.create_task(operator.write_series(range(2, 2000), period_s)),
            ]
            longest_s = await measure_longest_delay_s(operator, holder, 10.0)
            for task in tasks:
                task.cancel()
            return longest_s

        assert run_virtual(run_scenario()) < APPLY_S


class TestSilentReader:
    """The table answers one of two readers no longer; nobody announces versions."""

    @pytest.mark.parametrize("silent", [0, 1])
    @pytest.mark.parametrize("period_s", [0.12, 1.0, 3.0])
    def test_followers_do_not_wait_for_a_reader_that_the_table_leaves_unanswered(
        self, silent, period_s
    ):
        # Guards against a reader that answers counting as current (CONFIG).
        async def run_scenario():
            operator = Operator()
            operator.write(1)
            world = FeedWorld(operator, 6)
            tasks = [asyncio.create_task(feed.run()) for feed in world.feeds]
            await asyncio.sleep(0.5)
            assert {holder.version for holder in world.holders} == {1}
            world.tables[silent].is_silent = True
            writing = operator.write_series(range(2, 2000), period_s)
            tasks.append(asyncio.create_task(writing))
            delays_s = await asyncio.gather(
                *(
                    measure_longest_delay_s(operator, holder, 10.0)
                    for holder in world.holders[2:]
                )
            )
            for task in tasks:
                task.cancel()
            return max(delays_s)

        assert run_virtual(run_scenario()) < APPLY_S
