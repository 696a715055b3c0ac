"""Send a call over a connection and turn every failure into a typed refusal."""

import math

from gentianlink.node.proxy.exchange_call import run_call
from gentianlink.platform import wire

# A target may send nothing until the deadline while it works; TCP keep-alive probes
# detect a dead connection.
MAX_SILENCE_MS = math.inf


async def send_call(pool, stream, call, buffer):
    """Send a call and read its answer.

    Parameters
    ----------
    pool : ConnectionPool
        Pool to which the connection is returned.
    stream : ExchangeStream
        Connection to send the call on.
    call : Call
        The call; its deadline header is set here.
    buffer : AnswerBuffer
        Receives the answer.

    Returns
    -------
    Refusal or None
        None if `buffer` has the complete answer. The outcome of a failure is unknown
        as soon as a byte of the call may have been sent.

    Raises
    ------
    CallerGone
        If the caller closed its connection.
    """

    def set_headers(remaining_ms):
        call.headers[wire.DEADLINE_MS] = str(max(1, int(remaining_ms)))

    return await run_call(pool, stream, call, buffer, MAX_SILENCE_MS, set_headers)
