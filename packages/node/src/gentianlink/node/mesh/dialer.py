"""The opening side of links: one task for each neighbour that this node chose."""

import asyncio
import random

import grpc

from gentianlink.core.errors import CodecError
from gentianlink.node.log import get_logger
from gentianlink.node.mesh import mesh_pb2_grpc
from gentianlink.node.mesh.link import Link

_LOG = get_logger("mesh")

CHANNEL_OPTIONS = [
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.enable_retries", 0),
]
BACKOFF_FIRST_MS = 50
BACKOFF_MAX_MS = 2000


def compute_backoff_ms(attempt, rng=random):
    """Return a wait with full jitter before the next attempt.

    Parameters
    ----------
    attempt : int
        Attempts that failed so far.
    rng : random.Random, optional
        Source of randomness.

    Returns
    -------
    float
        Wait in milliseconds.
    """
    bound = min(BACKOFF_MAX_MS, BACKOFF_FIRST_MS * 2 ** min(attempt, 16))
    return rng.uniform(0, bound)


async def run_dialer(mesh, address):
    """Keep a link to one address open until cancelled.

    Parameters
    ----------
    mesh : Mesh
        Links of this node.
    address : str
        ``address:port`` of the neighbour.
    """
    attempt = 0
    while True:
        opened = await _dial_once(mesh, address)
        attempt = 0 if opened else attempt + 1
        await asyncio.sleep(compute_backoff_ms(attempt) / 1000)


async def _dial_once(mesh, address):
    link = Link("")
    opened = False
    async with grpc.aio.insecure_channel(address, options=CHANNEL_OPTIONS) as channel:
        stub = mesh_pb2_grpc.MeshStub(channel)
        try:
            frames = stub.Link(_send_frames(mesh, link)).__aiter__()
            hello = await anext(frames)
            opened = True
            await mesh.run_link(hello, frames, link)
        except (grpc.RpcError, CodecError, StopAsyncIteration) as error:
            _LOG.debug("link failed", address=address, why=type(error).__name__)
        finally:
            link.close()
    return opened


async def _send_frames(mesh, link):
    yield mesh.make_hello()
    async for frame in link.read_frames():
        yield frame
