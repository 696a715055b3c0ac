"""Send a call over a connection and map every failure to a typed refusal."""

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
SILENCE_PER_MEAN_ANSWER = 4


def compute_silence_ms(limit_ms, remaining_ms, share, mean_ms):
    """Return the time without progress after which a connection counts as silent.

    Parameters
    ----------
    limit_ms : float
        Upper bound in milliseconds.
    remaining_ms : float
        Time until the deadline in milliseconds.
    share : float
        Share of the remaining time to wait, so that there is time for another
        attempt.
    mean_ms : float
        Mean time of an answer in milliseconds.

    Returns
    -------
    float
        Time in milliseconds. Below `limit_ms` it is at least several times the mean
        time of an answer: a slow target is not silent, and another attempt would add
        to its load.
    """
    return min(limit_ms, max(remaining_ms * share, mean_ms * SILENCE_PER_MEAN_ANSWER))


async def exchange_call(pool, stream, call, relay, silence_ms, target_id=None):
    """Send a call over a connection and relay its answer.

    Parameters
    ----------
    pool : ConnectionPool
        Pool that the connection is released to.
    stream : ExchangeStream
        Connection of the exchange.
    call : Call
        The call.
    relay : AnswerRelay
        Receives the answer.
    silence_ms : float
        Longest time in milliseconds without progress.
    target_id : str, optional
        Target that the node at the other end should use.

    Returns
    -------
    Refusal or None
        None if `relay` received a whole answer that is no refusal. A failed exchange
        has the outcome unknown, since bytes may have been sent.

    Raises
    ------
    CallerGone
        If the caller closed its connection.
    """

    def set_headers(remaining_ms):
        set_target_headers(call, remaining_ms, target_id)

    return await run_call(pool, stream, call, relay, silence_ms, set_headers)


async def run_call(pool, stream, call, relay, silence_ms, set_headers):
    """Run the exchange of a call and release its connection to the pool.

    Parameters
    ----------
    pool : ConnectionPool
        Pool that the connection is released to.
    stream : ExchangeStream
        Connection of the exchange.
    call : Call
        The call.
    relay : RelayedAnswer
        Receives the answer.
    silence_ms : float
        Longest time in milliseconds without progress.
    set_headers : callable
        Takes the time until the deadline in milliseconds and sets the headers that
        the other end receives.

    Returns
    -------
    Refusal or None
        None if `relay` received a whole answer that is no refusal. A failed exchange
        has the outcome unknown, since bytes may have been sent.

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
    """Set the headers that a target or its node receives.

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
