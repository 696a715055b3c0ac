"""HTTP server for endpoints other than calls: health, heartbeats, peers, metrics."""

import asyncio
import inspect

import attrs
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, ResponseStartLine, responses
from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets

from gentianlink.node.background import note_failure, start_task
from gentianlink.sidecar.status import STATUS_SERVER_ERROR


@attrs.frozen
class Reply:
    """Response of an endpoint.

    Attributes
    ----------
    status : int
        HTTP status.
    body : bytes
        Body.
    content_type : str
        Media type of the body.
    """

    status: int = 200
    body: bytes = b""
    content_type: str = "application/json"


def serve_endpoint(address, handle):
    """Start an HTTP server that answers each request with the result of a function.

    Parameters
    ----------
    address : str
        IP address and TCP port.
    handle : callable
        Takes method, path and body and returns a Reply, or a coroutine of one.

    Returns
    -------
    tornado.httpserver.HTTPServer
        The running server.
    """

    def start_answer(request):
        start_task(_answer(request, handle), "endpoint")

    server = HTTPServer(start_answer)
    host, _, port = address.rpartition(":")
    server.add_sockets(bind_sockets(int(port), host))
    return server


async def _answer(request, handle):
    try:
        reply = handle(request.method, request.uri, request.body)
        if inspect.isawaitable(reply):
            reply = await reply
    except Exception as error:
        note_failure("endpoint", error)
        reply = Reply(STATUS_SERVER_ERROR)
    headers = HTTPHeaders(
        {"Content-Length": str(len(reply.body)), "Content-Type": reply.content_type}
    )
    reason = responses.get(reply.status, "Unknown")
    line = ResponseStartLine("HTTP/1.1", reply.status, reason)
    try:
        await request.connection.write_headers(line, headers, reply.body)
        request.connection.finish()
    except (StreamClosedError, asyncio.CancelledError):
        return
