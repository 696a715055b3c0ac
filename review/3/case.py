"""An unsafe request at a slow server runs a second time at another server."""

import asyncio
import collections

from stand_in_deployment import Deployment
from stand_in_script import CannotRun, has_trouble, run_case

WORK_S = 7.0
# Impairment `srv_slow`: one server of seven works this many times as long on what it
# begins within this time.
SLOW_FACTOR = 5.0
SLOW_S = 6.5
SERVERS = 7
TIMEOUT_S = 60
SLOTS = 4
REQUESTS = 21
ROUTES = [
    {
        "name": "r-settle",
        "host": "shop.example",
        "prefix": "/settle/",
        "kind": "unsafe",
        "timeout_s": TIMEOUT_S,
        "target_latency_s": 10,
        "priority": 1,
        "attempts": 2,
        "service": "billing",
    }
]
MACHINES = [("portal", "z1", SLOTS), *[("billing", "z1", SLOTS)] * SERVERS]


async def _wait_until_served(deployment, node):
    for _ in range(100):
        answers = [await deployment.send(node, "/none/", 1000)]
        if answers[0]["status"] == 404:
            return
        await asyncio.sleep(0.1)
    raise CannotRun("the configuration is not in force")


async def case(record):
    """Send unsafe requests; return those that ran more than once."""
    async with Deployment(record, MACHINES, ROUTES) as deployment:
        client_node, *billing = deployment.nodes
        await _wait_until_served(deployment, client_node)
        # Heartbeats of all servers have been sent, and the nodes know of each other.
        await asyncio.sleep(5.0)
        for node in billing:
            node.server.work_s = WORK_S
        if has_trouble():
            record.note("impairment srv_slow begins", server=billing[0].server.name)
            billing[0].server.work_s *= SLOW_FACTOR
        sent = [
            asyncio.create_task(
                deployment.send(
                    client_node, "/settle/7", TIMEOUT_S * 1000, "POST", b"{}"
                )
            )
            for _ in range(REQUESTS)
        ]
        await asyncio.sleep(SLOW_S)
        record.note("impairment srv_slow ends, if there was one")
        billing[0].server.work_s = WORK_S
        results = await asyncio.gather(*sent)
        await asyncio.sleep(1.0)
        runs = collections.defaultdict(list)
        for node in billing:
            for request_id, _ in node.server.runs:
                runs[request_id].append(node.server.name)
        if not any(runs.values()):
            raise CannotRun("no request has run")
        violations = []
        for result in results:
            servers = runs[result["id"]]
            record.note("result", id=result["id"], status=result["status"], ran=servers)
            if len(servers) > 1:
                violations.append(
                    f"TWICE: unsafe request {result['id']} ran {len(servers)} times: "
                    + ", ".join(servers)
                )
            if result["status"] in (408, 421, 429, 503) and servers:
                violations.append(
                    f"REFUSED: request {result['id']} was answered {result['status']} "
                    f"and has run: {', '.join(servers)}"
                )
        return violations


if __name__ == "__main__":
    run_case(case)
