"""One exchange over one connection: send the call, read the answer."""

import asyncio

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import RequestStartLine
from tornado.iostream import StreamClosedError

from gentianlink.node.proxy.errors import CallerGone, TargetLost, TargetSilent

MAX_ANSWER_BYTES = 1 << 40
_PARAMETERS = HTTP1ConnectionParameters(max_body_size=MAX_ANSWER_BYTES)


async def run_exchange(stream, call, headers, relay, timeout_ms):
    """Send a call and relay its answer.

    Parameters
    ----------
    stream : tornado.iostream.IOStream
        Connection that no other exchange uses.
    call : Call
        The call.
    headers : HTTPHeaders
        Headers to send.
    relay : AnswerRelay
        Takes the answer.
    timeout_ms : float
        Bound in milliseconds on the whole exchange.

    Returns
    -------
    bool
        True if the connection can be used again.

    Raises
    ------
    TargetLost
        If the connection closed before the whole answer had arrived.
    TargetSilent
        If the bound passed.
    CallerGone
        If the caller closed its connection.
    """
    connection = HTTP1Connection(stream, True, _PARAMETERS)
    start_line = RequestStartLine(call.method, call.target, "HTTP/1.1")
    try:
        connection.write_headers(start_line, headers, call.body or None)
        connection.finish()
        reading = connection.read_response(relay)
        is_open = await asyncio.wait_for(reading, timeout_ms / 1000)
    except TimeoutError as error:
        stream.close()
        raise TargetSilent from error
    except (StreamClosedError, OSError) as error:
        stream.close()
        raise TargetLost from error
    except (CallerGone, asyncio.CancelledError):
        stream.close()
        raise
    if not relay.is_finished:
        stream.close()
        raise TargetLost
    return is_open and relay.headers.get("Connection", "").lower() != "close"
