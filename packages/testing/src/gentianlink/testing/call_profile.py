"""Profile the call path: one node, one target and one caller in one process.

Run ``python -m gentianlink.testing.call_profile``. The target and the caller do as
little work as possible, so that the node accounts for most of the profile.
"""

import asyncio
import cProfile
import pathlib
import pstats
import time

import typer
import uvloop

from gentianlink.core.announcement import Announcement
from gentianlink.core.settings import LogSettings
from gentianlink.node.clock import get_monotonic_ms, get_now_ms
from gentianlink.node.log import configure_logs
from gentianlink.node.node import Node
from gentianlink.parser.catalogue_file import parse_catalogue
from gentianlink.parser.settings_file import parse_settings
from gentianlink.platform.object_client import ObjectClient
from gentianlink.platform.table_client import TableClient
from gentianlink.store.catalogue_store import CatalogueStore
from gentianlink.store.change_request import ChangeRequest
from gentianlink.testing.demo import CATALOGUE
from gentianlink.testing.fleet import NODE_SETTINGS
from gentianlink.testing.loopback import get_own_address, get_ports
from gentianlink.testing.platform_service import start_platform

REQUEST = b"GET /inquiry/balance HTTP/1.1\r\nHost: node\r\n\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
BODY_BYTES = 2
END_OF_HEADERS = b"\r\n\r\n"
WARM_UP_CALLS = 500
CALLS_PER_ANNOUNCEMENT = 500
STARTUP_WAIT_S = 1.0
PLATFORM_TIMEOUT_MS = 1000
PROFILE_LINES = 30
US_PER_S = 1e6


async def serve_target(reader, writer):
    """Answer every request on a connection with a constant response."""
    try:
        while True:
            await reader.readuntil(END_OF_HEADERS)
            writer.write(ANSWER)
    except asyncio.IncompleteReadError:
        writer.close()


async def accept_catalogue(platform_url):
    """Store the example catalogue of Kingston as the version in force.

    Parameters
    ----------
    platform_url : str
        URL of the platform stand-in.
    """
    store = CatalogueStore(
        TableClient(f"{platform_url}/table", PLATFORM_TIMEOUT_MS),
        ObjectClient(f"{platform_url}/objects", PLATFORM_TIMEOUT_MS),
    )
    text = pathlib.Path(CATALOGUE).read_text()
    catalogue, _ = parse_catalogue(text, "profile")
    request = ChangeRequest("profile", "profile", "profile")
    await store.accept(catalogue, await store.read_head(), request, get_now_ms())


def make_node(address, platform_url, call_port):
    """Return a node with newly allocated mesh and admin ports.

    Parameters
    ----------
    address : str
        IP address to listen on.
    platform_url : str
        URL of the platform stand-in.
    call_port : int
        TCP port for calls.

    Returns
    -------
    Node
        The node, not yet running.
    """
    mesh_port, admin_port = get_ports(2)
    text = NODE_SETTINGS.format(
        node_id="n1",
        region="kingston",
        data_centre="kingston-1",
        address=address,
        call_port=call_port,
        mesh_port=mesh_port,
        admin_port=admin_port,
        platform_url=platform_url,
        mesh_settings="",
    )
    settings, _ = parse_settings(text, "profile")
    return Node.from_settings(settings, lambda: None)


async def send_calls(count, reader, writer, announce):
    """Send calls one after another over one connection.

    Parameters
    ----------
    count : int
        Number of calls.
    reader, writer : asyncio streams
        Connection to the node.
    announce : callable
        Function without arguments that renews the lease of the target.
    """
    for number in range(count):
        if number % CALLS_PER_ANNOUNCEMENT == 0:
            announce()
        writer.write(REQUEST)
        await reader.readuntil(END_OF_HEADERS)
        await reader.readexactly(BODY_BYTES)


async def run(calls):
    """Measure the processor time per call, then profile as many calls again.

    Parameters
    ----------
    calls : int
        Number of calls of the measurement, and of the profile.
    """
    address = get_own_address(1)
    platform_port, call_port, target_port = get_ports(3)
    start_platform(address, platform_port)
    platform_url = f"http://{address}:{platform_port}"
    await accept_catalogue(platform_url)
    node = make_node(address, platform_url, call_port)
    stop_requested = asyncio.Event()
    running = asyncio.create_task(node.run(stop_requested))
    await asyncio.start_server(serve_target, address, target_port)

    def announce():
        announcement = Announcement("inquiry", "t1", target_port, 10, "ready", address)
        node.local_targets.announce(announcement, get_monotonic_ms())

    await asyncio.sleep(STARTUP_WAIT_S)
    announce()
    await asyncio.sleep(STARTUP_WAIT_S)
    connection = await asyncio.open_connection(address, call_port)
    await send_calls(WARM_UP_CALLS, *connection, announce)
    started_s = time.process_time()
    await send_calls(calls, *connection, announce)
    used_s = time.process_time() - started_s
    print(
        f"{used_s / calls * US_PER_S:.0f} us of processor time per call, whole process"
    )
    profile = cProfile.Profile()
    profile.enable()
    await send_calls(calls, *connection, announce)
    profile.disable()
    pstats.Stats(profile).sort_stats("tottime").print_stats(PROFILE_LINES)
    connection[1].close()
    stop_requested.set()
    await running


def main(calls: int = 3000):
    """Profile the call path of one node."""
    configure_logs(LogSettings(level="error"))
    uvloop.run(run(calls))


if __name__ == "__main__":
    typer.run(main)
