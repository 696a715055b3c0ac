"""Limits of the catalogue at this node: rate and concurrency of each entry.

A limit is divided between callers by max-min fair shares of what each of them asked
for within the last second, so that one caller can't take all of it.
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
    asked: int = 0
    rate: float = 0.0
    peak: int = 0
    in_flight: int = 0


@attrs.define
class _EntryUse:
    callers: dict[str, _CallerUse] = attrs.field(factory=dict)
    in_flight: int = 0
    window_ms: float = 0.0
    shared_ms: float = -SHARE_PERIOD_MS
    rate_share: float = 0.0
    concurrency_share: float = 0.0


class EntryLimiter:
    """Use of the limits of all entries."""

    def __init__(self):
        self._uses = {}

    def enter(self, entry, caller, now_ms):
        """Count a call in, or refuse it.

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
            None if the call was counted; :meth:`leave` then has to follow.
        """
        limits = entry.limits
        if not limits.rate and not limits.concurrency:
            return None
        use = self._uses.setdefault(entry.name, _EntryUse())
        _turn_window(use, now_ms)
        own = _get_caller_use(use, caller, now_ms)
        own.asked += 1
        own.peak = max(own.peak, own.in_flight + 1)
        _update_shares(use, limits, now_ms)
        refusal = _check_concurrency(use, own, limits)
        refusal = refusal or _check_rate(use, own, limits, now_ms)
        if refusal is None:
            use.in_flight += 1
            own.in_flight += 1
        return refusal

    def leave(self, entry, caller):
        """Count a call out that :meth:`enter` has counted in.

        Parameters
        ----------
        entry : Entry
            Entry of the call.
        caller : str
            Name of the caller.
        """
        use = self._uses.get(entry.name)
        if use is None or not use.in_flight:
            return
        use.in_flight -= 1
        own = use.callers.get(caller) or use.callers.get(OTHER_CALLERS)
        if own is not None and own.in_flight:
            own.in_flight -= 1


def _turn_window(use, now_ms):
    elapsed_ms = now_ms - use.window_ms
    if elapsed_ms < WINDOW_MS:
        return
    use.window_ms = now_ms
    for name, own in list(use.callers.items()):
        own.rate = own.asked * MS_PER_S / elapsed_ms
        if not own.asked and not own.in_flight:
            del use.callers[name]
        own.asked = 0
        own.peak = own.in_flight


def _get_caller_use(use, caller, now_ms):
    own = use.callers.get(caller)
    if own is None and len(use.callers) >= MAX_CALLERS:
        own = use.callers.get(OTHER_CALLERS)
        caller = OTHER_CALLERS
    if own is None:
        own = _CallerUse(updated_ms=now_ms)
        use.callers[caller] = own
        use.shared_ms = now_ms - SHARE_PERIOD_MS
    return own


def _update_shares(use, limits, now_ms):
    if now_ms - use.shared_ms < SHARE_PERIOD_MS:
        return
    use.shared_ms = now_ms
    callers = use.callers.values()
    rates = [max(1.0, own.rate, own.asked) for own in callers]
    peaks = [own.peak for own in callers]
    use.rate_share = compute_fair_share(rates, limits.rate)
    use.concurrency_share = compute_fair_share(peaks, limits.concurrency)


def _check_concurrency(use, own, limits):
    if not limits.concurrency:
        return None
    share = max(1, int(use.concurrency_share))
    if use.in_flight < limits.concurrency and own.in_flight < share:
        return None
    return Refusal(Reason.CONCURRENCY_LIMIT, retry_after_ms=CONCURRENCY_RETRY_AFTER_MS)


def _check_rate(use, own, limits, now_ms):
    if not limits.rate:
        return None
    rate = use.rate_share
    burst = max(1.0, rate * BURST_MS / MS_PER_S)
    earned = (now_ms - own.updated_ms) * rate / MS_PER_S
    own.tokens = min(burst, own.tokens + earned)
    own.updated_ms = now_ms
    if own.tokens >= 1:
        own.tokens -= 1
        return None
    wait_ms = (1 - own.tokens) * MS_PER_S / rate
    return Refusal(Reason.RATE_LIMIT, retry_after_ms=max(1, int(wait_ms) + 1))
