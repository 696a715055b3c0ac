"""A request that many clients make is refused for good after a server has flapped."""

import asyncio
import itertools
import random
import secrets
import time

from stand_in_deployment import Deployment
from stand_in_script import CannotRun, has_trouble, run_case
from stand_in_server import Reply

SLOTS = 9
SERVERS = 9
# Most clients read the same table, which takes as long as statement-fetch.
COMMON_PATH, COMMON_S, COMMON_SHARE = "/rates/today", 0.64, 0.9
OTHER_S = 0.05
# Time between two requests of the clients of one machine.
GAP_S = 0.4
DEADLINE_MS = 8000
CALM_S = 12.0
# Impairment `srv_flap`: one server of nine goes down and up by turns, for this time and
# with this period.
FLAP_S, FLAP_PERIOD_S = 7.2, 1.2
# Final fault `kill_all`: all processes are killed, and start again after this time.
DOWN_S = 1.0
RECOVER_S = 15.0
MEASURED_S = 10.0
LEAST_SHARE = 0.25
ROUTES = [
    {
        "name": "r-rates",
        "host": "shop.example",
        "prefix": "/rates/",
        "kind": "safe",
        "timeout_s": 4,
        "target_latency_s": 2,
        "priority": 1,
        "attempts": 2,
        "service": "registry",
    }
]
MACHINES = [("registry", f"z{number % 3}", SLOTS) for number in range(SERVERS)]


def _make_reply(message):
    return Reply(200, b"rates", COMMON_S if message.path == COMMON_PATH else OTHER_S)


async def _send_all_the_time(deployment, node, is_ended):
    sending = set()
    await asyncio.sleep(random.uniform(0, GAP_S))
    for _ in itertools.count():
        if is_ended.is_set():
            break
        is_common = random.random() < COMMON_SHARE
        path = COMMON_PATH if is_common else f"/rates/{secrets.token_hex(4)}"
        task = asyncio.create_task(deployment.send(node, path, DEADLINE_MS))
        sending.add(task)
        task.add_done_callback(sending.discard)
        await asyncio.sleep(GAP_S)
    await asyncio.gather(*sending)


async def _flap(server, record):
    """Have a server crash and start again by turns; each start is a new lifetime."""
    end_s = time.monotonic() + FLAP_S
    while time.monotonic() < end_s:
        record.note("server down", server=server.name)
        server.crash()
        await asyncio.sleep(FLAP_PERIOD_S / 2)
        await server.start_anew()
        record.note("server up", server=server.name)
        await asyncio.sleep(FLAP_PERIOD_S / 2)


async def case(record):
    """Have a server flap, kill all nodes, and count what is served after that."""
    async with Deployment(record, MACHINES, ROUTES) as deployment:
        nodes = deployment.nodes
        for node in nodes:
            node.server.make_reply = _make_reply
        is_ended = asyncio.Event()
        load = [
            asyncio.create_task(_send_all_the_time(deployment, node, is_ended))
            for node in nodes
        ]
        await asyncio.sleep(CALM_S)
        if has_trouble():
            record.note("impairment srv_flap begins")
            await _flap(nodes[0].server, record)
            record.note("impairment srv_flap ends")
        await asyncio.sleep(3.0)
        deployment.write_config(2, ROUTES, ["registry"])
        fault_s = time.monotonic()
        if has_trouble():
            record.note("final fault kill_all, right after an acknowledged change")
            await asyncio.gather(*(node.kill() for node in nodes))
            await asyncio.sleep(DOWN_S)
            await asyncio.gather(*(node.start() for node in nodes))
        back_s = time.monotonic()
        await asyncio.sleep(RECOVER_S + MEASURED_S)
        is_ended.set()
        await asyncio.gather(*load)
        before = [r for r in deployment.requests if r["sent_s"] < fault_s]
        after = [r for r in deployment.requests if r["sent_s"] > back_s + RECOVER_S]
        shares = [_compute_served_share(requests) for requests in (before, after)]
        record.note(
            "served",
            before=f"{shares[0]:.3f} of {len(before)}",
            after=f"{shares[1]:.3f} of {len(after)}",
        )
        if len(after) < 50 or shares[0] < LEAST_SHARE:
            raise CannotRun("too little was served before the final fault")
        if shares[1] >= LEAST_SHARE:
            return []
        return [
            f"RECOVER: {shares[1]:.0%} of {len(after)} requests sent later than "
            f"{RECOVER_S:g} s after all processes were back were served, and "
            f"{shares[0]:.0%} before the final fault"
        ]


def _compute_served_share(requests):
    served = sum(item["status"] == 200 for item in requests)
    return served / max(1, len(requests))


if __name__ == "__main__":
    run_case(case)
