"""Send a call over a connection and turn every failure into a typed refusal."""

import asyncio

from gentianlink.core import headers as names
from gentianlink.core.outcome import Outcome
from gentianlink.core.reason import Reason
from gentianlink.node.clock import get_monotonic_ms
from gentianlink.node.proxy.answer_writer import copy_headers
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
HEADERS_OF_ANSWERS = (
    names.OUTCOME,
    names.REASON,
    names.RETRY_AFTER_MS,
    names.FREE_SLOTS,
    names.VERSION,
    names.TARGET,
    "Expect",
)


async def exchange_call(
    pool, stream, call, relay, silence_ms, silence_share, target_id=None
):
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
    silence_share : float
        Share of the remaining time after which silence is noticed at the latest, so
        that time for another attempt is left; 1 for the last attempt.
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
    remaining_ms = call.get_remaining_ms(get_monotonic_ms())
    if remaining_ms <= 0:
        pool.release(stream, True, get_monotonic_ms())
        return Refusal(Reason.DEADLINE_PASSED)
    headers = make_target_headers(call, remaining_ms)
    if target_id is not None:
        headers[names.TARGET] = target_id
    bound_ms = min(silence_ms, remaining_ms * silence_share)
    is_reusable = False
    try:
        is_reusable = await run_exchange(stream, call, headers, relay, bound_ms)
    except (CallerGone, asyncio.CancelledError):
        raise
    except ExchangeError as error:
        return Refusal(REASON_BY_ERROR[type(error)], Outcome.UNKNOWN)
    finally:
        pool.release(stream, is_reusable, get_monotonic_ms())
    return relay.refusal


def make_target_headers(call, remaining_ms):
    """Return the headers that a target or the node beside it receives.

    Parameters
    ----------
    call : Call
        The call.
    remaining_ms : float
        Time until the deadline in milliseconds.

    Returns
    -------
    HTTPHeaders
        End-to-end headers of the caller, with the remaining time. Headers that only
        answers may carry, and the choice of a target, are not taken over.
    """
    headers = copy_headers(call.headers)
    for name in HEADERS_OF_ANSWERS:
        headers.pop(name, None)
    headers[names.DEADLINE_MS] = str(max(1, int(remaining_ms)))
    headers[names.ATTEMPT] = str(call.attempt)
    headers[names.CALLER] = call.caller
    if call.body:
        headers["Content-Length"] = str(len(call.body))
    return headers
