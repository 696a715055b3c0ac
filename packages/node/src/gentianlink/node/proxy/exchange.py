"""One exchange over one connection: send the call, read the answer."""

import asyncio

from tornado.http1connection import HTTP1ConnectionParameters
from tornado.httputil import RequestStartLine
from tornado.iostream import StreamClosedError

from gentianlink.node.background import start_task
from gentianlink.node.clock import get_monotonic_ms
from gentianlink.node.proxy.errors import BadAnswer, CallerGone, TargetLost
from gentianlink.node.proxy.exchange_timer import ExchangeTimer
from gentianlink.node.proxy.header_parser import MessageConnection

MAX_ANSWER_BYTES = 1 << 40
# Late answers to earlier requests that are skipped on one connection.
MAX_FOREIGN_ANSWERS = 16
_PARAMETERS = HTTP1ConnectionParameters(max_body_size=MAX_ANSWER_BYTES)


async def run_exchange(stream, call, relay, silence_ms):
    """Send a call and relay its answer.

    Parameters
    ----------
    stream : ExchangeStream
        Connection that no other exchange uses.
    call : Call
        The call.
    relay : AnswerRelay
        Receives the answer.
    silence_ms : float
        Longest time in milliseconds without progress of the answer.

    Returns
    -------
    bool
        True if the exchange was complete in both directions, so that the connection
        can be used again.

    Raises
    ------
    TargetLost
        If the connection closed before the whole answer had arrived.
    TargetSilent
        If the answer made no progress for too long.
    ExchangeDeadlinePassed
        If the deadline passed.
    BadAnswer
        If the answer is unframed, so that its end looks like a lost connection.
    CallerGone
        If the caller closed its connection.
    """
    connection = MessageConnection(stream, True, _PARAMETERS)
    timer = ExchangeTimer(stream, relay, call.deadline_ms, silence_ms)
    timer.start(get_monotonic_ms())
    relay.set_stop_callback(stream.abort)
    relay.set_closed_check(stream.closed)
    send_task = None
    try:
        send_task = _send(connection, call)
        if send_task is not None:
            relay.set_finish_callback(lambda: send_task.done() or stream.abort())
        is_open = await connection.read_response(relay)
        for _ in range(MAX_FOREIGN_ANSWERS):
            if not is_open or not relay.is_foreign or stream.closed():
                break
            # Skip a late answer to an earlier request on this connection.
            relay.reset()
            next_reader = MessageConnection(stream, True, _PARAMETERS)
            # Nothing is sent; without this tornado waits for the end of a request.
            next_reader.finish()
            is_open = await next_reader.read_response(relay)
    except (StreamClosedError, OSError, asyncio.CancelledError) as error:
        stream.abort()
        if isinstance(error, asyncio.CancelledError):
            raise
        if _is_refused(timer, relay):
            return False
        raise _get_failure(timer, relay) from error
    finally:
        timer.stop()
        is_sent = await _stop_sending(send_task, call)
    is_truncated = relay.ends_with_connection and stream.error is not None
    is_whole = relay.is_finished and not is_truncated and not relay.is_foreign
    if _is_refused(timer, relay):
        return False
    if timer.error or relay.is_bad or relay.is_abandoned or not is_whole:
        stream.abort()
        raise _get_failure(timer, relay)
    return is_open and is_sent and relay.is_keep_alive


def _send(connection, call):
    start_line = RequestStartLine(call.method, call.target, "HTTP/1.1")
    if call.stream is None:
        connection.write_headers(start_line, call.headers, call.body or None)
        connection.finish()
        return None
    connection.write_headers(start_line, call.headers, call.stream.prefix or None)
    return start_task(_send_stream(connection, call.stream), "request body")


async def _send_stream(connection, body):
    try:
        while chunk := await body.read():
            await connection.write(chunk)
    except StreamClosedError:
        connection.close()
        return False
    connection.finish()
    return True


async def _stop_sending(send_task, call):
    if send_task is None:
        return True
    send_task.cancel()
    await asyncio.wait([send_task])
    is_sent = not send_task.cancelled() and send_task.result()
    if not is_sent:
        call.stream.discard()
    return is_sent


def _is_refused(timer, relay):
    """Return whether an answer that was not read to its end is a refusal."""
    return relay.is_stopped and relay.refusal is not None and not timer.error


def _get_failure(timer, relay):
    if relay.is_abandoned:
        return CallerGone()
    if timer.error is not None:
        return timer.error()
    if relay.is_bad:
        return BadAnswer()
    return TargetLost()
