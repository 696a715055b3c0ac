"""Dialling side of links: one task for each address that this node dials."""

import asyncio
import random

import attrs
import grpc

from gentianlink.core.errors import CodecError, LinkRefused
from gentianlink.node.clock import get_monotonic_ms
from gentianlink.node.log import get_logger
from gentianlink.node.mesh import mesh_pb2_grpc
from gentianlink.node.mesh.link import Link
from gentianlink.node.mesh.link_close_reason import LinkCloseReason

_LOG = get_logger("mesh")

CHANNEL_OPTIONS = [
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.enable_retries", 0),
]
BACKOFF_FIRST_MS = 50
BACKOFF_MAX_MS = 2000
HELLO_TIMEOUT_S = 2.0
FLUSH_TIMEOUT_S = 1.0
LINK_CHECK_INTERVAL_S = 0.5


def compute_backoff_ms(attempt, rng=random):
    """Return the exponential back-off with full jitter before the next attempt.

    Parameters
    ----------
    attempt : int
        Number of consecutive failed attempts.
    rng : random.Random, optional
        Source of randomness.

    Returns
    -------
    float
        Wait in milliseconds.
    """
    bound = min(BACKOFF_MAX_MS, BACKOFF_FIRST_MS * 2 ** min(attempt, 16))
    return rng.uniform(0, bound)


@attrs.frozen
class DialPlan:
    """Address that a dialer opens a link to, and callbacks for failures.

    Attributes
    ----------
    address : str
        ``address:port`` of the neighbour.
    node_id : str or None
        Name of the neighbour, None if only its address is known.
    on_unreachable : callable or None
        Called with the name after an attempt on which no node answered.
    on_full : callable or None
        Called with the name and the present time on the monotonic clock in
        milliseconds if the neighbour refuses the link because it has too many.
    """

    address: str
    node_id: str | None = None
    on_unreachable: object = None
    on_full: object = None


async def run_dialer(mesh, plan):
    """Keep a link to a neighbour open until cancelled.

    The neighbour is not dialled while a link to it exists, whichever side opened it.

    Parameters
    ----------
    mesh : Mesh
        Links of this node.
    plan : DialPlan
        The neighbour and the callbacks.
    """
    attempt = 0
    while True:
        if plan.node_id in mesh.links:
            attempt = 0
            await asyncio.sleep(LINK_CHECK_INTERVAL_S)
            continue
        close_reason = await _dial_once(mesh, plan)
        attempt = attempt + 1 if _is_failure(close_reason) else 0
        if close_reason is None:
            plan.on_unreachable(plan.node_id)
        if close_reason is LinkCloseReason.FULL:
            plan.on_full(plan.node_id, get_monotonic_ms())
        await asyncio.sleep(compute_backoff_ms(attempt) / 1000)


async def run_temporary_link(mesh, plan):
    """Open a link for an exchange of records; return once it is closed.

    The link is not reopened. Cancellation closes it.

    Parameters
    ----------
    mesh : Mesh
        Links of this node.
    plan : DialPlan
        The address; the callbacks are not used.
    """
    await _dial_once(mesh, plan)


def _is_failure(close_reason):
    return close_reason in (
        None,
        LinkCloseReason.FULL,
        LinkCloseReason.SELF,
        LinkCloseReason.MALFORMED,
        LinkCloseReason.FLOOD,
    )


async def _dial_once(mesh, plan):
    link = Link("", is_dialled=True)
    has_opened = False
    async with grpc.aio.insecure_channel(
        plan.address, options=CHANNEL_OPTIONS
    ) as channel:
        stub = mesh_pb2_grpc.MeshStub(channel)
        try:
            stream = stub.Link(_send_frames(mesh, plan, link))
            frames = stream.__aiter__()
            async with asyncio.timeout(HELLO_TIMEOUT_S):
                hello = await anext(frames)
            has_opened = True
            await _run_until_closed(mesh, hello, frames, link)
        except LinkRefused as error:
            link.refuse(error.reason)
            await asyncio.sleep(0)
        except CodecError as error:
            _LOG.warning("link refused", address=plan.address, why=str(error))
            link.close(LinkCloseReason.MALFORMED)
        except (grpc.RpcError, StopAsyncIteration, TimeoutError) as error:
            _LOG.debug("link failed", address=plan.address, why=type(error).__name__)
        finally:
            link.close(
                LinkCloseReason.NOT_CHOSEN
                if has_opened
                else LinkCloseReason.STREAM_ENDED
            )
    return link.close_reason if has_opened else None


async def _run_until_closed(mesh, hello, frames, link):
    reader = asyncio.create_task(_read_link(mesh, hello, frames, link))
    closed = asyncio.create_task(link.wait_closed())
    try:
        await asyncio.wait([reader, closed], return_when=asyncio.FIRST_COMPLETED)
        if not reader.done() and link.close_reason.is_orderly:
            await asyncio.wait([reader], timeout=FLUSH_TIMEOUT_S)
        if reader.done():
            reader.result()
    except asyncio.CancelledError:
        link.refuse(LinkCloseReason.NOT_CHOSEN)
        await asyncio.wait([reader], timeout=FLUSH_TIMEOUT_S)
        raise
    finally:
        closed.cancel()
        if not reader.done():
            reader.cancel()
            await asyncio.wait([reader])


async def _read_link(mesh, hello, frames, link):
    try:
        await mesh.run_link(hello, frames, link)
    except grpc.RpcError:
        link.close()


async def _send_frames(mesh, plan, link):
    yield mesh.make_hello(is_joining=plan.node_id is None)
    async for frame in link.read_frames():
        yield frame
