"""The accepting side of links."""

import grpc

from gentianlink.core.errors import CodecError
from gentianlink.node.background import start_task
from gentianlink.node.mesh import mesh_pb2_grpc
from gentianlink.node.mesh.link import Link

SHUTDOWN_GRACE_S = 0.2


class MeshServicer(mesh_pb2_grpc.MeshServicer):
    """Serves the links that other nodes open.

    Parameters
    ----------
    mesh : Mesh
        Links of this node.
    """

    def __init__(self, mesh):
        self._mesh = mesh

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
        try:
            async for frame in link.read_frames():
                await context.write(frame)
        finally:
            reader.cancel()


async def _read_link(mesh, frames, link):
    try:
        hello = await anext(frames)
        await mesh.run_link(hello, frames, link)
    except (StopAsyncIteration, CodecError, grpc.RpcError):
        link.close()


async def start_mesh_server(mesh, address, port):
    """Start to accept links.

    Parameters
    ----------
    mesh : Mesh
        Links of this node.
    address : str
        IP number to listen on.
    port : int
        TCP port to listen on.

    Returns
    -------
    grpc.aio.Server
        The running server.
    """
    server = grpc.aio.server(options=[("grpc.so_reuseport", 0)])
    mesh_pb2_grpc.add_MeshServicer_to_server(MeshServicer(mesh), server)
    server.add_insecure_port(f"{address}:{port}")
    await server.start()
    return server
