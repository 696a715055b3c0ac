"""After the store has reset connections, no node follows the configuration."""

import asyncio
import contextlib
import sys
import time

from stand_in_deployment import STABLE_WINDOW_S, Deployment
from stand_in_script import CannotRun, has_trouble, run_case

SLOTS = 9
# Impairment `platform_down` (reset): the store resets all connections for this time.
STORE_DOWN_S = 4.5
OUTAGES = 3
PAUSE_S = 4.0
CONFIG_APPLY_S = 2.0
# The most by which an unstable core may stretch the bound of configuration.
MAX_STRETCH_S = 5.0
MEASURED_S = 10.0
# Clients of each machine, who send their next request after the answer to the last.
CLIENTS = 4
WORK_S = 0.002
DEADLINE_MS = 2000
MACHINES = [("registry", "z1", SLOTS), ("registry", "z2", SLOTS), ("registry", "z3", 9)]


def _make_route(prefix):
    return {
        "name": "r-" + prefix.strip("/"),
        "host": "shop.example",
        "prefix": prefix,
        "kind": "safe",
        "timeout_s": 1,
        "target_latency_s": 0.5,
        "priority": 1,
        "attempts": 2,
        "service": "registry",
    }


@contextlib.asynccontextmanager
async def _clients(node):
    """Run the clients of a machine as a process; the list gets what was served."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "stand_in_load",
        node.addresses["outbound"],
        "/first/1",
        str(CLIENTS),
        stdout=asyncio.subprocess.PIPE,
    )
    served = []
    try:
        yield served
    finally:
        process.kill()
        output, _ = await process.communicate()
        served += [int(line) for line in output.split()]


async def _reset_connections(store):
    """Have the store reset its connections for a while, then serve again."""
    store.cut_off()
    host, _, port = store.address.rpartition(":")
    resetter = await asyncio.create_subprocess_exec(
        sys.executable,
        "../stand_in_resetter.py",
        host,
        port,
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        await resetter.stdout.readline()
        await asyncio.sleep(STORE_DOWN_S)
    finally:
        resetter.kill()
        await resetter.wait()
    await store.start()


async def case(record):
    """Add a route after outages of the store; return what is refused for good."""
    first, added = _make_route("/first/"), _make_route("/added/")
    async with (
        Deployment(record, MACHINES, [first]) as deployment,
        contextlib.AsyncExitStack() as clients,
    ):
        nodes = deployment.nodes
        for node in nodes:
            node.server.work_s = WORK_S
            node.server.is_recorded = False
        counts = [await clients.enter_async_context(_clients(node)) for node in nodes]
        await asyncio.sleep(8.0)
        for _ in range(OUTAGES):
            if has_trouble():
                record.note("impairment platform_down (reset) begins")
                await _reset_connections(deployment.store)
                record.note("impairment platform_down (reset) ends")
            else:
                await asyncio.sleep(STORE_DOWN_S)
            await asyncio.sleep(PAUSE_S)
        # All machines are in touch and the store is stable from here on.
        await asyncio.sleep(max(0.0, STABLE_WINDOW_S - PAUSE_S))
        deployment.write_config(2, [first, added], ["registry"])
        acknowledged_s = time.monotonic()
        record.note("configuration r2 with the route /added/ acknowledged")
        await asyncio.sleep(CONFIG_APPLY_S + MAX_STRETCH_S)
        results = []
        while time.monotonic() < acknowledged_s + CONFIG_APPLY_S + MEASURED_S:
            for node in nodes:
                result = await deployment.send(node, "/added/1", DEADLINE_MS)
                results.append((node.name, result))
            await asyncio.sleep(0.5)
        await clients.aclose()
        served = sum(sum(item[-1:]) for item in counts)
        record.note("requests to /first/", served=served)
        if served < 100:
            raise CannotRun("too few requests were served")
        refused = [(name, r) for name, r in results if r["status"] == 404]
        record.note("requests to /added/", sent=len(results), refused=len(refused))
        return [
            f"CONFIG: request {result['id']} to a route that is there was refused with "
            f"404 at {name}, {result['sent_s'] - acknowledged_s:.1f} s after the ack"
            for name, result in refused
        ]


if __name__ == "__main__":
    run_case(case)
