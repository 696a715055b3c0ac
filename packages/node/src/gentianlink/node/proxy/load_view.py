"""Load of each endpoint, as estimated by this node."""

import attrs

REPORT_LIFETIME_MS = 1000
SLOW_START_MS = 5000
SLOW_START_SHARE = 0.1
RETENTION_MS = 30_000


@attrs.define
class _TargetLoad:
    first_seen_ms: float
    last_seen_ms: float
    outstanding: int = 0
    other_calls: float = 0.0
    reported_ms: float = -REPORT_LIFETIME_MS


class LoadView:
    """Estimates loads from outstanding calls and the free slots that answers report."""

    def __init__(self):
        self._loads = {}
        self._swept_ms = 0.0

    def get_load(self, endpoint, now_ms):
        """Return the load of an endpoint; 1 or more if no slot is known to be free.

        Slow start: a target that is new to this node, or was unused for long, counts
        with a growing share of its slots, so that it does not get its full share of
        calls while it is cold.

        Parameters
        ----------
        endpoint : Endpoint
            The endpoint.
        now_ms : float
            Present time on the monotonic clock in milliseconds.

        Returns
        -------
        float
            Calls per slot.
        """
        load = self._get(endpoint.target_id, now_ms)
        age_ms = now_ms - load.reported_ms
        other_calls = load.other_calls * max(0.0, 1 - age_ms / REPORT_LIFETIME_MS)
        warm_share = (now_ms - load.first_seen_ms) / SLOW_START_MS
        share = min(1.0, SLOW_START_SHARE + (1 - SLOW_START_SHARE) * warm_share)
        slots = max(1.0, endpoint.slots * share)
        return (load.outstanding + other_calls) / slots

    def _get(self, target_id, now_ms):
        load = self._loads.get(target_id)
        if load is None:
            self._sweep(now_ms)
            load = _TargetLoad(now_ms, now_ms)
            self._loads[target_id] = load
        load.last_seen_ms = now_ms
        return load

    def _sweep(self, now_ms):
        if now_ms - self._swept_ms < RETENTION_MS:
            return
        self._swept_ms = now_ms
        for target_id, load in list(self._loads.items()):
            if not load.outstanding and now_ms - load.last_seen_ms >= RETENTION_MS:
                del self._loads[target_id]

    def begin(self, target_id, now_ms):
        """Count a call that is sent to a target."""
        self._get(target_id, now_ms).outstanding += 1

    def end(self, target_id, now_ms):
        """Count the end of a call that was sent to a target."""
        self._get(target_id, now_ms).outstanding -= 1

    def report(self, endpoint, free_slots, now_ms):
        """Record the free slots that an answer reports, before its call has ended.

        Parameters
        ----------
        endpoint : Endpoint
            The endpoint.
        free_slots : int
            Free slots of the target once the call has ended.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        load = self._get(endpoint.target_id, now_ms)
        own_calls = max(0, load.outstanding - 1)
        load.other_calls = max(0, endpoint.slots - free_slots - own_calls)
        load.reported_ms = now_ms
