"""Tasks of a sidecar that meet an error that none of their callers expects."""

import asyncio
import collections

import pytest

from gentianlink.testing.sidecar_world import RULES, SidecarWorld

APPLY_S = 2.0


class UnexpectedError(Exception):
    """Error of a kind that no code handles."""


def fail_calls(owner, name, count=1):
    """Have the next calls of a method fail; return the number that still will."""
    method = getattr(owner, name)
    left = collections.Counter(failures=count)

    def call(*args, **kwargs):
        if left["failures"]:
            left["failures"] -= 1
            raise UnexpectedError(name)
        return method(*args, **kwargs)

    setattr(owner, name, call)
    return left


async def wait_for_version(world, version):
    await world.wait_until(
        lambda: {node.sidecar.version for node in world.nodes} == {version}, APPLY_S
    )


def run(work):
    async def run_world():
        async with SidecarWorld(["inquiry"] * 3, ["a", "b", "c"]) as world:
            await work(world)

    asyncio.run(run_world())


class TestCatalogueFeed:
    # Guards against a feed that ends for good at an error nobody lists (CONFIG).
    @pytest.mark.parametrize("failures", [1, 3])
    def test_versions_are_followed_after_an_unexpected_error(self, failures):
        async def work(world):
            left = [
                fail_calls(node.sidecar._feed._table, "wait_for_changes", failures)
                for node in world.nodes
            ]
            world.write_catalogue(2, RULES)
            await world.wait_until(lambda: not any(item.total() for item in left))
            world.write_catalogue(3, RULES)
            await wait_for_version(world, 3)

        run(work)

    # Guards against losing a version that is read together with a row that fails.
    def test_version_is_in_force_if_another_row_can_not_be_handled(self):
        async def work(world):
            for node in world.nodes:
                fail_calls(node.sidecar._feed, "_on_rows", 1000)
            world.write_catalogue(2, RULES)
            await wait_for_version(world, 2)

        run(work)


class TestNodeRows:
    # Guards against a state that is never stored any more after an unexpected error.
    def test_row_is_written_after_an_unexpected_error(self):
        async def work(world):
            fail_calls(world.nodes[0].sidecar._rows._table, "transact", 2)
            await world.nodes[0].send_leave()
            await world.wait_until(lambda: world.count_rows_with_left_target() == 1)

        run(work)


class TestLinks:
    # Guards against a link that is neither used nor opened again.
    def test_exchange_goes_on_after_an_unexpected_error(self):
        async def work(world):
            exchange_ = world.nodes[0].sidecar._exchange
            left = fail_calls(exchange_, "_exchange", 2)
            exchange_.spread_rollouts()
            await world.wait_until(lambda: not left.total())
            assert not any(link.task.done() for link in exchange_._links.values())
            heard = {link: link.last_heard_ms for link in exchange_._links.values()}
            exchange_.spread_rollouts()
            await world.wait_until(
                lambda: all(link.last_heard_ms > ms for link, ms in heard.items())
            )

        run(work)


class TestPeriodicTasks:
    # Guards against one part that stops the periodic work of all parts after it.
    def test_parts_are_swept_although_one_fails(self):
        async def work(world):
            sidecar = world.nodes[0].sidecar
            left = fail_calls(sidecar._pool, "sweep", 10**6)
            swept = asyncio.Event()
            sidecar._guard.sweep = lambda now_ms: swept.set()
            sidecar._sweeps = sidecar._list_sweeps()
            async with asyncio.timeout(5.0):
                await swept.wait()
            assert left.total() < 10**6

        run(work)


class TestEndpoints:
    # Guards against a request that gets no answer because its handler has failed.
    def test_handler_that_fails_is_answered(self):
        async def work(world):
            node = world.nodes[0]
            fail_calls(node.sidecar._local_target, "handle_heartbeat")
            assert await node.send_heartbeat() == 500
            assert await node.send_heartbeat() == 200

        run(work)


class TestMetrics:
    # Guards against a task that fails again and again without being seen.
    def test_failures_of_tasks_are_counted(self):
        async def work(world):
            node = world.nodes[0]
            left = fail_calls(node.sidecar._feed._table, "wait_for_changes", 2)
            await world.wait_until(lambda: not left.total())
            body = node.sidecar._render_metrics().decode()
            assert 'gentianlink_task_failures_total{task="catalogue feed"} 2' in body

        run(work)
