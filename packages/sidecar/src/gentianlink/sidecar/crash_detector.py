"""Find out that the process of a target has crashed, and with which calls in flight."""

import attrs

from gentianlink.sidecar.call_fingerprint import summarize_call

# A target may go on with a call for a while after its connection was closed.
ABANDONED_MS = 2000.0
# More calls than a target has slots are never in flight.
MAX_ENDED = 256


@attrs.define(eq=False)
class Dispatch:
    """A call that was sent to the target.

    Attributes
    ----------
    call : Call
        The call.
    sent_ms : float
        Time at which it was sent, on the monotonic clock in milliseconds.
    """

    call: object
    sent_ms: float


class CrashDetector:
    """Calls at one process of a target, from which a crash is recognised.

    A connection that ends without an answer shows no crash by itself: the target or the
    network may have reset it. The process has crashed if it has lost calls and then
    refuses connections or is replaced by another process, without an answer to a later
    call in between.
    """

    def __init__(self):
        # In the order in which they were sent.
        self._running = {}
        # Time of sending and call, for those that have lost their connection since the
        # last sign of life.
        self._lost = []
        self._lost_ms = float("-inf")
        # Time, time of sending and call, for those whose caller has left or whose
        # deadline has passed.
        self._abandoned = []

    @property
    def has_lost_calls(self):
        """Whether calls were lost and it is open whether the process has ended."""
        return bool(self._lost)

    def begin(self, call, now_ms):
        """Record that a call is sent to the target.

        Parameters
        ----------
        call : Call
            The call.
        now_ms : float
            Present time on the monotonic clock in milliseconds.

        Returns
        -------
        Dispatch
            To be passed to the method that records the end of the call.
        """
        dispatch = Dispatch(call, now_ms)
        self._running[dispatch] = None
        return dispatch

    def note_answered(self, dispatch):
        """Record that the process has completed a call."""
        self._running.pop(dispatch, None)
        if dispatch.sent_ms > self._lost_ms:
            self._lost.clear()

    def note_not_executed(self, dispatch):
        """Record that a call was not executed.

        That is no sign of life: another process may have refused the call.
        """
        self._running.pop(dispatch, None)

    def note_lost(self, dispatch, now_ms):
        """Record that the connection of a call ended without an answer."""
        if dispatch in self._running:
            del self._running[dispatch]
            self._lost.append((dispatch.sent_ms, summarize_call(dispatch.call)))
            self._lost_ms = now_ms
            del self._lost[:-MAX_ENDED]

    def note_abandoned(self, dispatch, now_ms):
        """Record that nobody waits for the answer to a call any more."""
        if dispatch in self._running:
            del self._running[dispatch]
            self._drop_old(now_ms)
            summary = summarize_call(dispatch.call)
            self._abandoned.append((now_ms, dispatch.sent_ms, summary))
            del self._abandoned[:-MAX_ENDED]

    def _drop_old(self, now_ms):
        self._abandoned = [
            item for item in self._abandoned if now_ms - item[0] < ABANDONED_MS
        ]

    def take_crash(self):
        """Return the calls in flight if the process, which has ended, has crashed.

        Returns
        -------
        list of CallSummary
            Calls that it may have been executing, those sent last at the end; empty if
            it lost none, and on each later call of this method.
        """
        if not self._lost:
            return []
        self._drop_old(self._lost_ms)
        calls = [*self._lost, *(item[1:] for item in self._abandoned)]
        calls += [
            (item.sent_ms, summarize_call(item.call))
            for item in self._running
            if item.sent_ms <= self._lost_ms
        ]
        self._running = {
            item: None for item in self._running if item.sent_ms > self._lost_ms
        }
        self._lost.clear()
        self._abandoned.clear()
        calls.sort(key=lambda item: item[0])
        return [call for _, call in calls]
