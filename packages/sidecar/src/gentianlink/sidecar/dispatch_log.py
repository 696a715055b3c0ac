"""Log of the calls sent to the target beside this node, by which calls are fenced."""

RETENTION_MS = 15_000
SWEEP_INTERVAL_MS = 1000


class DispatchLog:
    """Request ids of the calls that were dispatched and of those that were fenced."""

    def __init__(self):
        self._dispatched = {}
        self._fenced = {}
        self._swept_ms = 0.0

    def is_fenced(self, request_id):
        """Return whether a call was fenced and so must not be dispatched."""
        return request_id in self._fenced

    def record(self, request_id, now_ms):
        """Record that a call is about to be sent to the target."""
        self._sweep(now_ms)
        self._dispatched[request_id] = now_ms

    def withdraw(self, request_id):
        """Remove the record of a call of which not a byte was sent."""
        self._dispatched.pop(request_id, None)

    def fence(self, request_id, now_ms):
        """Prevent a call from being dispatched, unless it already was.

        Parameters
        ----------
        request_id : str
            Id of the call.
        now_ms : float
            Present time on the monotonic clock in milliseconds.

        Returns
        -------
        bool
            True if the call was not dispatched and never will be.
        """
        self._sweep(now_ms)
        if request_id in self._dispatched:
            return False
        self._fenced[request_id] = now_ms
        return True

    def _sweep(self, now_ms):
        if now_ms - self._swept_ms < SWEEP_INTERVAL_MS:
            return
        self._swept_ms = now_ms
        for recorded_ms in (self._dispatched, self._fenced):
            for request_id in list(recorded_ms):
                if now_ms - recorded_ms[request_id] < RETENTION_MS:
                    break
                del recorded_ms[request_id]
