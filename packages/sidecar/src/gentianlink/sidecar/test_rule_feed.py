"""The feed under faults of its source, in virtual time."""

import asyncio

import pytest

from gentianlink.sidecar import rule_feed
from gentianlink.sidecar.rule_feed import RuleFeed
from gentianlink.sidecar.rule_holder import RuleHolder
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

    def write(self, version):
        rules = [make_rule(f"r{version}", f"/v{version}/", "inquiry")]
        self.holder.install_version(encode_catalogue(version, rules), "test")
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
