"""The feed under faults of its source, in virtual time."""

import asyncio
import itertools

import pytest

from gentianlink.sidecar import rule_feed
from gentianlink.sidecar.rule_feed import RuleFeed
from gentianlink.sidecar.rule_holder import RuleHolder
from gentianlink.testing.feed_model import (
    FAULTS,
    LINK_MBPS,
    ModelFeeds,
    ModelOperator,
    measure_delay_s,
    run_feed_model,
)
from gentianlink.testing.sidecar_world import RULES, SidecarWorld
from gentianlink.testing.virtual_loop import get_virtual_ms, run_virtual

# A confirmed version must be in force at every node within this time.
APPLY_S = 2.0
# The table counts as healthy again this long after it has failed.
STABLE_S = 3.0
CHECK_PERIOD_S = 0.1
LENGTH_S = 10.0


@pytest.fixture(autouse=True)
def virtual_clock(request, monkeypatch):
    if request.cls is not TestSilentDataCentre:
        monkeypatch.setattr(rule_feed, "get_monotonic_ms", get_virtual_ms)


class Peers:
    """Other nodes, which have each version as soon as it is written."""

    def __init__(self, operator):
        self._operator = operator

    def announce_version(self):
        pass

    def spread_missing_version(self, version):
        pass

    async def fetch_rules(self, version):
        return self._operator.holder.encode_since(version)

    def get_newest_version(self):
        return self._operator.holder.version


class TestSilentSource:
    """The source of versions answers nothing, but other nodes have newer versions."""

    @pytest.mark.parametrize("period_s", [0.02, 0.12, 0.3, 0.5, 3.0])
    def test_series_of_versions_does_not_postpone_the_fetch_from_a_peer(self, period_s):
        # Guards against a grace period that each newer version restarts (CONFIG).
        async def run_scenario():
            operator = ModelOperator()
            operator.write(1)
            holder = RuleHolder()
            holder.install_delta(operator.holder.encode_since(0), "test")
            peers = Peers(operator)
            feed = RuleFeed(None, holder, None, peers, LINK_MBPS)
            tasks = [
                asyncio.create_task(
                    feed.run_peers(peers.get_newest_version, CHECK_PERIOD_S)
                ),
                asyncio.create_task(operator.write_series(range(2, 2000), period_s)),
            ]
            longest_s = await measure_delay_s(operator, holder, LENGTH_S)
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
            operator = ModelOperator()
            operator.write(1)
            feeds = ModelFeeds(operator, 6)
            tasks = [asyncio.create_task(feed.run()) for feed in feeds.feeds]
            await asyncio.sleep(0.5)
            assert {holder.version for holder in feeds.holders} == {1}
            feeds.tables[silent].is_silent = True
            writing = operator.write_series(range(2, 2000), period_s)
            tasks.append(asyncio.create_task(writing))
            delays_s = await asyncio.gather(
                *(
                    measure_delay_s(operator, holder, LENGTH_S)
                    for holder in feeds.holders[2:]
                )
            )
            for task in tasks:
                task.cancel()
            return max(delays_s)

        assert run_virtual(run_scenario()) < APPLY_S


class TestSilenceThatEnds:
    """The table leaves all readers unanswered for a while, then answers new calls."""

    @pytest.mark.parametrize("started_s", [0.1, 1.0, 2.05, 2.9])
    @pytest.mark.parametrize("silence_s", [0.05, 1.0, 3.0])
    def test_versions_are_in_force_once_the_table_has_been_healthy_for_a_while(
        self, started_s, silence_s
    ):
        # Guards against a wait on a connection that has lost its answer (CONFIG).
        async def run_scenario():
            operator = ModelOperator()
            operator.write(1)
            feeds = ModelFeeds(operator, 6)
            tasks = [asyncio.create_task(feed.run()) for feed in feeds.feeds]
            await asyncio.sleep(started_s)
            for table in feeds.tables:
                table.is_silent = True
            await asyncio.sleep(silence_s)
            for table in feeds.tables:
                table.is_silent = False
            operator.write(2)
            await asyncio.sleep(STABLE_S)
            versions = {holder.version for holder in feeds.holders}
            for task in tasks:
                task.cancel()
            return versions

        assert run_virtual(run_scenario()) == {2}


class TestSilentDataCentre:
    """The table answers all nodes of one data centre and none of the other."""

    def test_version_crosses_from_the_other_data_centre(self):
        # Guards against versions that only the exchange of state announces (CONFIG).
        async def run_scenario():
            data_centres = ("a", "a", "b", "b", "b")
            services = ("inquiry",) * len(data_centres)
            world = SidecarWorld(services, data_centres, unanswered_data_centres=("b",))
            async with world:
                # Wait until the exchange that a start causes is over.
                await asyncio.sleep(0.5)
                world.set_unanswered(True)
                for version in range(2, 5):
                    world.write_catalogue(version, RULES)
                    await world.wait_until(
                        lambda version=version: all(
                            node.sidecar.version >= version for node in world.nodes
                        ),
                        APPLY_S,
                    )

        asyncio.run(run_scenario())


class TestFailingReader:
    """One of two readers fails in any way, for any time, in a series of versions."""

    @pytest.mark.parametrize(
        ("fault", "seed"),
        [*itertools.product(FAULTS, (1, 2, 3)), ("reader silent", 5)],
    )
    def test_versions_are_in_force_in_time_at_the_other_nodes(self, fault, seed):
        # Guards against a failure of a reader that its followers don't notice (CONFIG).
        assert run_feed_model(fault, seed) < APPLY_S
