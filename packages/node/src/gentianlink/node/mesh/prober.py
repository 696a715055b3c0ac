"""Probe of a node over a new connection."""

import asyncio

import attrs
import grpc

from gentianlink.core.errors import CodecError
from gentianlink.core.node_record import NodeRecord
from gentianlink.node.mesh import mesh_pb2, mesh_pb2_grpc
from gentianlink.node.mesh.convert import decode_node
from gentianlink.node.mesh.dialer import CHANNEL_OPTIONS
from gentianlink.node.mesh.probe_result import ProbeResult

PROBE_TIMEOUT_S = 1.0


@attrs.frozen
class ProbeReport:
    """Result of a probe, and the record of the node that answered.

    Attributes
    ----------
    result : ProbeResult
        Whether the node answered.
    record : NodeRecord or None
        Present record of the node, as sent by itself; None if there was no answer.
    """

    result: ProbeResult
    record: NodeRecord | None = None


async def probe_node(record, timeout_s=PROBE_TIMEOUT_S):
    """Probe a node over a new connection and return the result.

    A refused connection and an answer by another node both count as ``REFUSED``.

    Parameters
    ----------
    record : NodeRecord
        The node.
    timeout_s : float, optional
        Timeout in seconds.

    Returns
    -------
    ProbeReport
        The result.
    """
    try:
        async with asyncio.timeout(timeout_s):
            await _connect(record)
            return await _request_record(record)
    except ConnectionRefusedError:
        return ProbeReport(ProbeResult.REFUSED)
    except (OSError, TimeoutError, grpc.RpcError, CodecError):
        return ProbeReport(ProbeResult.SILENT)


async def _connect(record):
    _, writer = await asyncio.open_connection(record.address, record.mesh_port)
    writer.close()


async def _request_record(record):
    address = f"{record.address}:{record.mesh_port}"
    async with grpc.aio.insecure_channel(address, options=CHANNEL_OPTIONS) as channel:
        stub = mesh_pb2_grpc.MeshStub(channel)
        answer = await stub.Probe(mesh_pb2.ProbeRequest(node_id=record.node_id))
    answering_node = decode_node(answer.node)
    if answering_node.node_id != record.node_id:
        return ProbeReport(ProbeResult.REFUSED)
    return ProbeReport(ProbeResult.ALIVE, answering_node)
