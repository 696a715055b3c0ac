"""Accepting side of links, and the unary calls between nodes."""

import asyncio

import grpc

from gentianlink.core.errors import CodecError, LinkRefused
from gentianlink.node.background import start_task
from gentianlink.node.clock import get_now_ms
from gentianlink.node.log import get_logger
from gentianlink.node.mesh import mesh_pb2, mesh_pb2_grpc
from gentianlink.node.mesh.convergence_service import decode_report, encode_answer
from gentianlink.node.mesh.convert import encode_node
from gentianlink.node.mesh.link import Link
from gentianlink.node.mesh.link_close_reason import LinkCloseReason

_LOG = get_logger("mesh")

FLUSH_TIMEOUT_S = 1.0
HELLO_TIMEOUT_S = 5.0


class MeshServicer(mesh_pb2_grpc.MeshServicer):
    """Serves the links, probes, reports and convergence queries of other nodes.

    Parameters
    ----------
    mesh : Mesh
        Links of this node.
    collector : ReportCollector
        Reports that this node collects.
    """

    def __init__(self, mesh, collector):
        self._mesh = mesh
        self._collector = collector

    async def Link(self, request_iterator, context):  # noqa: N802
        """Serve one link.

        Parameters
        ----------
        request_iterator : async iterator of mesh_pb2.Frame
            Frames of the neighbour.
        context : grpc.aio.ServicerContext
            The stream.
        """
        link = Link("")
        await context.write(self._mesh.make_hello())
        frames = request_iterator.__aiter__()
        reader = start_task(_read_link(self._mesh, frames, link), "mesh reader")
        writer = start_task(_write_link(context, link), "mesh writer")
        try:
            await link.wait_closed()
            if link.close_reason.is_orderly:
                await asyncio.wait([writer], timeout=FLUSH_TIMEOUT_S)
        finally:
            reader.cancel()
            writer.cancel()

    async def Probe(self, request, context):  # noqa: N802
        """Answer a probe with the record of this node.

        Parameters
        ----------
        request : mesh_pb2.ProbeRequest
            The probe.
        context : grpc.aio.ServicerContext
            The call.
        """
        return mesh_pb2.ProbeAnswer(node=encode_node(self._mesh.own_record))

    async def Report(self, request, context):  # noqa: N802
        """Store the report of a node of this data centre.

        Parameters
        ----------
        request : mesh_pb2.NodeReport
            The report.
        context : grpc.aio.ServicerContext
            The call.
        """
        self._collector.add_report(decode_report(request), get_now_ms())
        return mesh_pb2.ReportAnswer()

    async def GetConvergence(self, request, context):  # noqa: N802
        """Return the convergence of a version on a shard of this data centre.

        Parameters
        ----------
        request : mesh_pb2.ConvergenceRequest
            The version and the shard.
        context : grpc.aio.ServicerContext
            The call.
        """
        state = self._collector.compute(request.version, request.shard, request.shards)
        return encode_answer(state)


async def _read_link(mesh, frames, link):
    try:
        async with asyncio.timeout(HELLO_TIMEOUT_S):
            hello = await anext(frames)
        await mesh.run_link(hello, frames, link)
    except LinkRefused as error:
        _LOG.info("link refused", peer=link.peer_id, why=str(error))
        link.refuse(error.reason)
    except CodecError as error:
        _LOG.warning("link refused", why=str(error))
        link.refuse(LinkCloseReason.MALFORMED)
    except (StopAsyncIteration, TimeoutError, grpc.RpcError):
        link.close()


async def _write_link(context, link):
    try:
        async for frame in link.read_frames():
            await context.write(frame)
    except grpc.RpcError:
        link.close()


async def start_mesh_server(mesh, collector, address, port):
    """Start the gRPC server of the mesh.

    Parameters
    ----------
    mesh : Mesh
        Links of this node.
    collector : ReportCollector
        Reports that this node collects.
    address : str
        IP address to listen on.
    port : int
        TCP port to listen on.

    Returns
    -------
    grpc.aio.Server
        The running server.
    """
    server = grpc.aio.server(options=[("grpc.so_reuseport", 0)])
    mesh_pb2_grpc.add_MeshServicer_to_server(MeshServicer(mesh, collector), server)
    server.add_insecure_port(f"{address}:{port}")
    await server.start()
    return server
