"""Processor time of one call through two nodes: caller server, forward server, target.

Run ``python -m gentianlink.testing.call_cost``. Two sidecars, the targets, the stand-in
of the platform and the caller share one process and one event loop. The caller and the
target do as little as possible; their own cost is measured by calls without the nodes
and subtracted. The lowest of many short rounds is the figure to compare on a machine
that others use as well.
"""

import asyncio
import cProfile
import os
import pstats
import statistics
import time

import typer
import uvloop

from gentianlink.platform import wire
from gentianlink.sidecar.line_limiter import LineLimiter
from gentianlink.sidecar.line_writer import LineWriter
from gentianlink.sidecar.log import configure_logs
from gentianlink.testing.raw_http import format_message
from gentianlink.testing.sidecar_world import DEADLINE_MS, HOST, SidecarWorld

END_OF_HEAD = b"\r\n\r\n"
BODY = b"done"
HEADERS = {
    "Accept": "application/json",
    "User-Agent": "call-cost",
    "Cookie": "session=5d41402abc4b2a76b9719d911017c592",
}
WARM_UP_CALLS = 300
PROFILE_LINES = 45
MS_PER_S = 1000


class PlainTarget:
    """Target that answers each request with the same body, and its id."""

    def __init__(self):
        self._server = None

    async def start(self, address):
        """Start accepting connections at an IP address and port."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def stop(self):
        """Stop accepting connections."""
        self._server.close()

    async def _serve(self, reader, writer):
        name = f"\r\n{wire.REQUEST_ID}: ".lower().encode()
        try:
            while True:
                head = await reader.readuntil(END_OF_HEAD)
                start = head.lower().index(name) + len(name)
                request_id = head[start : head.index(b"\r\n", start)].decode()
                headers = {
                    wire.REQUEST_ID: request_id,
                    wire.ANSWER_SEAL: "seal",
                    "Content-Type": "application/json",
                }
                writer.write(format_message("HTTP/1.1 200 OK", headers, BODY))
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


async def send_calls(address, first, count):
    """Send calls one after another over one connection.

    Parameters
    ----------
    address : str
        IP address and port.
    first : int
        Number of the first call.
    count : int
        Number of calls.
    """
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    for number in range(first, first + count):
        headers = HEADERS | {
            "Host": HOST,
            wire.REQUEST_ID: f"call-{number}",
            wire.DEADLINE_MS: str(DEADLINE_MS),
        }
        line = f"GET /read/{number} HTTP/1.1"
        writer.write(format_message(line, headers))
        head = await reader.readuntil(END_OF_HEAD)
        assert head.startswith(b"HTTP/1.1 200"), head
        await reader.readexactly(len(BODY))
    writer.close()


async def measure(address, first, count):
    """Return the processor time of a call in milliseconds.

    Parameters
    ----------
    address : str
        IP address and port that the calls are sent to.
    first : int
        Number of the first call.
    count : int
        Number of calls.
    """
    started_s = time.process_time()
    await send_calls(address, first, count)
    return (time.process_time() - started_s) / count * MS_PER_S


async def run(calls, rounds, has_profile):
    """Measure calls through two nodes, and calls straight to the target.

    Parameters
    ----------
    calls : int
        Number of calls of a round.
    rounds : int
        Number of rounds.
    has_profile : bool
        Whether to print a profile of one more round.
    """
    async with SidecarWorld(["registry", "inquiry"]) as world:
        own, other = world.nodes
        target = PlainTarget()
        await other.target.stop()
        await target.start(other.target.address)
        await send_calls(own.calls_address, 0, WARM_UP_CALLS)
        whole, bare = [], []
        for number in range(1, rounds + 1):
            first = number * calls + WARM_UP_CALLS
            whole.append(await measure(own.calls_address, first, calls))
            bare.append(await measure(other.target.address, first, calls))
        differences = [a - b for a, b in zip(whole, bare, strict=True)]
        typer.echo(
            f"lowest {min(differences):.3f}, median "
            f"{statistics.median(differences):.3f} ms a call for two nodes "
            f"({rounds} rounds of {calls}); caller and target {min(bare):.3f} ms"
        )
        if has_profile:
            profile = cProfile.Profile()
            profile.enable()
            await send_calls(own.calls_address, 0, calls)
            profile.disable()
            stats = pstats.Stats(profile).sort_stats("tottime")
            stats.print_stats(PROFILE_LINES)
        await target.stop()
        other.target.crash()


def main(calls: int = 400, rounds: int = 25, profile: bool = False):
    """Measure the processor time of a call, with logs as in the product."""
    descriptor = os.open(os.devnull, os.O_WRONLY)
    configure_logs(LineWriter(descriptor), LineLimiter(), "call-cost")
    uvloop.run(run(calls, rounds, profile))


if __name__ == "__main__":
    typer.run(main)
