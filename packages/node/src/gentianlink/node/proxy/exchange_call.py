"""Send a call over a connection and turn every failure into a typed refusal."""

import asyncio

from gentianlink.core import headers as names
from gentianlink.core.outcome import Outcome
from gentianlink.core.reason import Reason
from gentianlink.node.clock import get_monotonic_ms
from gentianlink.node.proxy.errors import (
    BadAnswer,
    CallerGone,
    ExchangeDeadlinePassed,
    ExchangeError,
    TargetLost,
    TargetSilent,
)
from gentianlink.node.proxy.exchange import run_exchange
from gentianlink.node.proxy.refusal import Refusal

REASON_BY_ERROR = {
    TargetLost: Reason.TARGET_LOST,
    TargetSilent: Reason.TARGET_SILENT,
    ExchangeDeadlinePassed: Reason.DEADLINE_PASSED,
    BadAnswer: Reason.BAD_ANSWER,
}
SILENT_ANSWERS = 4


def compute_silence_ms(limit_ms, remaining_ms, share, mean_ms):
    """Return after which time without progress a connection counts as silent.

    Parameters
    ----------
    limit_ms : float
        Longest such time in milliseconds.
    remaining_ms : float
        Time until the deadline in milliseconds.
    share : float
        Share of the remaining time that may pass, so that there is time for another
        attempt.
    mean_ms : float
        Mean time of an answer in milliseconds.

    Returns
    -------
    float
        Time in milliseconds. It is several times that of a usual answer, since a
        slow target is not silent and another attempt would add to its load.
    """
    return min(limit_ms, max(remaining_ms * share, mean_ms * SILENT_ANSWERS))


async def exchange_call(pool, stream, call, relay, silence_ms, target_id=None):
    """Send a call over a connection and relay its answer.

    Parameters
    ----------
    pool : ConnectionPool
        Takes the connection back.
    stream : ExchangeStream
        Connection of the exchange.
    call : Call
        The call.
    relay : AnswerRelay
        Takes the answer.
    silence_ms : float
        Longest time in milliseconds without progress.
    target_id : str, optional
        Target that the node at the other end should use.

    Returns
    -------
    Refusal or None
        None if the whole answer went through `relay`. The outcome is unknown as soon
        as a byte may have left.

    Raises
    ------
    CallerGone
        If the caller closed its connection.
    """

    def set_headers(remaining_ms):
        set_target_headers(call, remaining_ms, target_id)

    return await run_call(pool, stream, call, relay, silence_ms, set_headers)


async def run_call(pool, stream, call, relay, silence_ms, set_headers):
    """Run the exchange of a call and give its connection back.

    Parameters
    ----------
    pool : ConnectionPool
        Takes the connection back.
    stream : ExchangeStream
        Connection of the exchange.
    call : Call
        The call.
    relay : RelayedAnswer
        Takes the answer.
    silence_ms : float
        Longest time in milliseconds without progress.
    set_headers : callable
        Takes the time until the deadline in milliseconds and sets the headers that
        the other end receives.

    Returns
    -------
    Refusal or None
        None if there is a whole answer. The outcome is unknown as soon as a byte may
        have left.

    Raises
    ------
    CallerGone
        If the caller closed its connection.
    """
    now_ms = get_monotonic_ms()
    remaining_ms = call.get_remaining_ms(now_ms)
    if remaining_ms <= 0:
        pool.release(stream, True, now_ms)
        return Refusal(Reason.DEADLINE_PASSED)
    set_headers(remaining_ms)
    is_reusable = False
    try:
        is_reusable = await run_exchange(stream, call, relay, silence_ms)
    except (CallerGone, asyncio.CancelledError):
        raise
    except ExchangeError as error:
        return Refusal(REASON_BY_ERROR[type(error)], Outcome.UNKNOWN)
    finally:
        pool.release(stream, is_reusable, get_monotonic_ms())
    return relay.refusal


def set_target_headers(call, remaining_ms, target_id):
    """Set the headers that a target or the node beside it receives.

    Parameters
    ----------
    call : Call
        The call; its headers are changed in place.
    remaining_ms : float
        Time until the deadline in milliseconds.
    target_id : str or None
        Target that the node at the other end should use.
    """
    headers = call.headers
    headers[names.DEADLINE_MS] = str(max(1, int(remaining_ms)))
    headers[names.ATTEMPT] = str(call.attempt)
    if target_id is not None:
        headers[names.TARGET] = target_id
    elif names.TARGET in headers:
        del headers[names.TARGET]
