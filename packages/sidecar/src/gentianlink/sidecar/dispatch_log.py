"""Log of the calls sent to the target beside this node, by which calls are fenced.

A call counts as not run only if this log would still know of its dispatch. So the
answer to a fence says how far back the log reaches, and the node that asks compares
that with the age of its call.
"""

# Dispatched calls are remembered for this time, and fences for as long after the end of
# the call's time limit.
RETENTION_MS = 60_000.0
SWEEP_INTERVAL_MS = 1000.0
# Dispatched calls that are remembered, and fences; 4 MB each.
MAX_CALLS = 32_768


class DispatchLog:
    """Request ids of the calls that were dispatched and of those that were fenced."""

    def __init__(self):
        # Time of the last dispatch by request id, oldest first.
        self._dispatched = {}
        # Time at which each fence ends, by request id.
        self._fenced = {}
        # Later dispatches are all known.
        self._known_since_ms = float("-inf")
        self._swept_ms = 0.0

    @property
    def size(self):
        """Number of remembered dispatches."""
        return len(self._dispatched)

    def is_fenced(self, request_id):
        """Return whether a call was fenced and so must not be dispatched."""
        return request_id in self._fenced

    def record(self, request_id, now_ms):
        """Record that a call is about to be sent to the target.

        Parameters
        ----------
        request_id : str
            Id of the call.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        self._sweep(now_ms)
        self._dispatched.pop(request_id, None)
        self._dispatched[request_id] = now_ms
        if len(self._dispatched) > MAX_CALLS:
            oldest = next(iter(self._dispatched))
            self._known_since_ms = self._dispatched.pop(oldest)

    def fence(self, request_id, remaining_ms, now_ms):
        """Prevent a call from being dispatched, unless it may have been already.

        Parameters
        ----------
        request_id : str
            Id of the call.
        remaining_ms : float
            Time until the call's time limit in milliseconds; afterwards it is not
            dispatched anyway.
        now_ms : float
            Present time on the monotonic clock in milliseconds.

        Returns
        -------
        float
            Time in milliseconds: a call that was sent to this node within it was not
            dispatched and never will be. 0 if nothing is known of an older call, or if
            the call was dispatched.
        """
        self._sweep(now_ms)
        if request_id in self._dispatched or len(self._fenced) >= MAX_CALLS:
            return 0.0
        until_ms = now_ms + max(0.0, remaining_ms) + RETENTION_MS
        self._fenced[request_id] = max(until_ms, self._fenced.get(request_id, until_ms))
        return min(RETENTION_MS, now_ms - self._known_since_ms)

    def _sweep(self, now_ms):
        if now_ms - self._swept_ms < SWEEP_INTERVAL_MS:
            return
        self._swept_ms = now_ms
        for request_id in list(self._dispatched):
            if now_ms - self._dispatched[request_id] < RETENTION_MS:
                break
            del self._dispatched[request_id]
        for request_id, until_ms in list(self._fenced.items()):
            if now_ms >= until_ms:
                del self._fenced[request_id]
