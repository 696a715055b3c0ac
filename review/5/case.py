"""A node acknowledges that its server leaves, and sends it requests later on."""

import asyncio
import time

from stand_in_deployment import DRAIN_S, STABLE_WINDOW_S, Deployment
from stand_in_script import CannotRun, has_trouble, run_case

SLOTS = 9
# Impairment `platform_down` (busy): the store answers 503 for this time.
STORE_DOWN_S = 4.5
# Impairment `node_kill`: the process is started again after this time.
RESTART_S = 0.5
# The server serves on for this time after the ack of its leaving.
SERVES_ON_S = 14.0
GAP_S = 0.1
DEADLINE_MS = 2000
ROUTES = [
    {
        "name": "r-read",
        "host": "shop.example",
        "prefix": "/read/",
        "kind": "safe",
        "timeout_s": 1,
        "target_latency_s": 0.5,
        "priority": 1,
        "attempts": 2,
        "service": "registry",
    }
]
MACHINES = [
    ("portal", "z1", SLOTS),
    ("registry", "z1", SLOTS),
    ("registry", "z1", SLOTS),
]


async def _send_all_the_time(deployment, node):
    sending = set()
    try:
        while True:
            task = asyncio.create_task(deployment.send(node, "/read/1", DEADLINE_MS))
            sending.add(task)
            task.add_done_callback(sending.discard)
            await asyncio.sleep(GAP_S)
    finally:
        for task in sending:
            task.cancel()


async def case(record):
    """Kill a node while the store is down, and have its server leave meanwhile."""
    async with Deployment(record, MACHINES, ROUTES) as deployment:
        client_node, _, leaving = deployment.nodes
        load = asyncio.create_task(_send_all_the_time(deployment, client_node))
        await asyncio.sleep(6.0)
        if not leaving.server.runs:
            raise CannotRun("the server has got no request")
        calm_s = time.monotonic()
        if has_trouble():
            record.note("impairment platform_down (busy) begins")
            deployment.store.is_down = True
            down_s = time.monotonic()
            await asyncio.sleep(0.5)
            await leaving.kill()
            await asyncio.sleep(RESTART_S)
            await leaving.start()
        # Without a process beside it the server gets no ack, and tries again.
        acknowledged_s = await leaving.server.leave()
        if has_trouble():
            await asyncio.sleep(down_s + STORE_DOWN_S - time.monotonic())
            deployment.store.is_down = False
            record.note("impairment platform_down ends")
            calm_s = time.monotonic()
            calm_s = max(calm_s, leaving.started_s)
        await asyncio.sleep(acknowledged_s + SERVES_ON_S - time.monotonic())
        leaving.server.stop()
        record.note("server ended", server=leaving.server.name)
        load.cancel()
        # All machines and the store are without impairment from here on.
        first_s = max(acknowledged_s + DRAIN_S, calm_s + STABLE_WINDOW_S)
        sent = {item["id"]: item["sent_s"] for item in deployment.requests}
        late = [
            request_id
            for request_id, run_s in leaving.server.runs
            if run_s > first_s and sent[request_id] > first_s
        ]
        record.note(
            "requests at the server that has left",
            after_ack=sum(run > acknowledged_s for _, run in leaving.server.runs),
            counted=len(late),
        )
        if not late:
            return []
        return [
            f"DRAIN: {len(late)} requests reached a server over {DRAIN_S} s after "
            f"the ack of its leaving, the first is {late[0]}"
        ]


if __name__ == "__main__":
    run_case(case)
