"""Rate limit and concurrency limit of each entry, enforced at this node.

A limit is divided between callers by max-min fairness over the demand of each within
the last second, so that one caller can't take all of it.
"""

import attrs

from gentianlink.core.reason import Reason
from gentianlink.node.proxy.refusal import Refusal
from gentianlink.ops.fair_share import compute_fair_share

WINDOW_MS = 1000
BURST_MS = 200
SHARE_PERIOD_MS = 100
MAX_CALLERS = 1000
OTHER_CALLERS = "others"
CONCURRENCY_RETRY_AFTER_MS = 50
MS_PER_S = 1000


@attrs.define
class _CallerUse:
    tokens: float = 1.0
    updated_ms: float = 0.0
    requested: int = 0
    rate: float = 0.0
    peak: int = 0
    in_flight: int = 0


@attrs.define
class _EntryUse:
    callers: dict[str, _CallerUse] = attrs.field(factory=dict)
    in_flight: int = 0
    window_start_ms: float = 0.0
    shares_updated_ms: float = -SHARE_PERIOD_MS
    rate_share: float = 0.0
    concurrency_share: float = 0.0


class EntryLimiter:
    """Enforces the limits of all entries."""

    def __init__(self):
        self._uses = {}

    def enter(self, entry, caller, now_ms):
        """Admit a call, or refuse it.

        Parameters
        ----------
        entry : Entry
            Entry of the call.
        caller : str
            Name of the caller.
        now_ms : float
            Present time on the monotonic clock in milliseconds.

        Returns
        -------
        Refusal or None
            None if the call was admitted; :meth:`leave` must be called at its end.
        """
        limits = entry.limits
        if not limits.rate and not limits.concurrency:
            return None
        entry_use = self._uses.setdefault(entry.name, _EntryUse())
        _roll_window(entry_use, now_ms)
        caller_use = _get_caller_use(entry_use, caller, now_ms)
        caller_use.requested += 1
        caller_use.peak = max(caller_use.peak, caller_use.in_flight + 1)
        _update_shares(entry_use, limits, now_ms)
        refusal = _check_concurrency(entry_use, caller_use, limits)
        refusal = refusal or _check_rate(entry_use, caller_use, limits, now_ms)
        if refusal is None:
            entry_use.in_flight += 1
            caller_use.in_flight += 1
        return refusal

    def leave(self, entry, caller):
        """Stop counting a call that :meth:`enter` admitted.

        Parameters
        ----------
        entry : Entry
            Entry of the call.
        caller : str
            Name of the caller.
        """
        entry_use = self._uses.get(entry.name)
        if entry_use is None or not entry_use.in_flight:
            return
        entry_use.in_flight -= 1
        caller_use = entry_use.callers.get(caller) or entry_use.callers.get(
            OTHER_CALLERS
        )
        if caller_use is not None and caller_use.in_flight:
            caller_use.in_flight -= 1


def _roll_window(entry_use, now_ms):
    elapsed_ms = now_ms - entry_use.window_start_ms
    if elapsed_ms < WINDOW_MS:
        return
    entry_use.window_start_ms = now_ms
    for name, caller_use in list(entry_use.callers.items()):
        caller_use.rate = caller_use.requested * MS_PER_S / elapsed_ms
        if not caller_use.requested and not caller_use.in_flight:
            del entry_use.callers[name]
        caller_use.requested = 0
        caller_use.peak = caller_use.in_flight


def _get_caller_use(entry_use, caller, now_ms):
    caller_use = entry_use.callers.get(caller)
    if caller_use is None and len(entry_use.callers) >= MAX_CALLERS:
        caller_use = entry_use.callers.get(OTHER_CALLERS)
        caller = OTHER_CALLERS
    if caller_use is None:
        caller_use = _CallerUse(updated_ms=now_ms)
        entry_use.callers[caller] = caller_use
        entry_use.shares_updated_ms = now_ms - SHARE_PERIOD_MS
    return caller_use


def _update_shares(entry_use, limits, now_ms):
    if now_ms - entry_use.shares_updated_ms < SHARE_PERIOD_MS:
        return
    entry_use.shares_updated_ms = now_ms
    callers = entry_use.callers.values()
    rates = [max(1.0, caller_use.rate, caller_use.requested) for caller_use in callers]
    peaks = [caller_use.peak for caller_use in callers]
    entry_use.rate_share = compute_fair_share(rates, limits.rate)
    entry_use.concurrency_share = compute_fair_share(peaks, limits.concurrency)


def _check_concurrency(entry_use, caller_use, limits):
    if not limits.concurrency:
        return None
    share = max(1, int(entry_use.concurrency_share))
    if entry_use.in_flight < limits.concurrency and caller_use.in_flight < share:
        return None
    return Refusal(Reason.CONCURRENCY_LIMIT, retry_after_ms=CONCURRENCY_RETRY_AFTER_MS)


def _check_rate(entry_use, caller_use, limits, now_ms):
    if not limits.rate:
        return None
    rate = entry_use.rate_share
    burst = max(1.0, rate * BURST_MS / MS_PER_S)
    earned = (now_ms - caller_use.updated_ms) * rate / MS_PER_S
    caller_use.tokens = min(burst, caller_use.tokens + earned)
    caller_use.updated_ms = now_ms
    if caller_use.tokens >= 1:
        caller_use.tokens -= 1
        return None
    wait_ms = (1 - caller_use.tokens) * MS_PER_S / rate
    return Refusal(Reason.RATE_LIMIT, retry_after_ms=max(1, int(wait_ms) + 1))
