"""Send a call over a connection and turn every failure into a typed refusal."""

from gentianlink.node.proxy.exchange_call import run_call
from gentianlink.platform import wire


async def send_call(pool, stream, call, buffer, silence_ms):
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
    silence_ms : float
        Longest time in milliseconds without progress.

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

    return await run_call(pool, stream, call, buffer, silence_ms, set_headers)
