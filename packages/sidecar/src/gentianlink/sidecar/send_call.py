"""Send a call over a connection and turn every failure into a typed refusal."""

from gentianlink.node.proxy.exchange_call import run_call
from gentianlink.platform import wire


async def send_call(pool, stream, call, buffer, silence_ms):
    """Send a call and read its answer.

    Parameters
    ----------
    pool : ConnectionPool
        Takes the connection back.
    stream : ExchangeStream
        Connection of the exchange.
    call : Call
        The call; its deadline header is set here.
    buffer : AnswerBuffer
        Takes the answer.
    silence_ms : float
        Longest time in milliseconds without progress.

    Returns
    -------
    Refusal or None
        None if the whole answer is in `buffer`. The outcome is unknown as soon as a
        byte may have left.

    Raises
    ------
    CallerGone
        If the caller closed its connection.
    """

    def set_headers(remaining_ms):
        call.headers[wire.DEADLINE_MS] = str(max(1, int(remaining_ms)))

    return await run_call(pool, stream, call, buffer, silence_ms, set_headers)
