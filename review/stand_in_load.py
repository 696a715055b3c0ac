"""Clients of one machine, who send one request after the other until they are killed.

Arguments: address, path, number of clients. Prints each second how many requests were
answered with success.
"""

import asyncio
import contextlib
import itertools
import secrets
import sys

from stand_in_http import read_message

HOST = "shop.example"
DEADLINE_MS = 2000
PAUSE_S = 0.1


async def _send_in_turn(address, path, counts):
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    prefix = secrets.token_hex(4)
    try:
        for number in itertools.count():
            head = (
                f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\n"
                f"Request-Id: {prefix}{number:08x}\r\n"
                f"Deadline-Ms: {DEADLINE_MS}\r\n\r\n"
            )
            writer.write(head.encode())
            answer = await read_message(reader)
            if answer is None:
                return
            counts[answer.status] = counts.get(answer.status, 0) + 1
    finally:
        writer.close()


async def _run_client(address, path, counts):
    while True:
        with contextlib.suppress(OSError):
            await _send_in_turn(address, path, counts)
        await asyncio.sleep(PAUSE_S)


async def _main():
    address, path, clients = sys.argv[1:]
    counts = {}
    tasks = [
        asyncio.create_task(_run_client(address, path, counts))
        for _ in range(int(clients))
    ]
    while tasks:
        await asyncio.sleep(1.0)
        print(counts.get(200, 0), flush=True)


if __name__ == "__main__":
    asyncio.run(_main())
