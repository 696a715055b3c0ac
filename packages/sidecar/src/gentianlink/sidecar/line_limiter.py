"""Rate limit for log lines, by event and reason."""

import attrs

# Log lines of one kind written per second. A node that is not overloaded stays below
# the limit, so that every call is logged in full.
LINES_PER_S = 100
WINDOW_MS = 1000.0


@attrs.define
class _KindState:
    window_start_ms: float
    written: int = 0
    left_out: int = 0


class LineLimiter:
    """Limits the rate of log lines of each kind; a kind is an event with a reason.

    The first line of a kind in each window is always written, so that a new kind of
    failure is never suppressed.
    """

    def __init__(self):
        self._kinds = {}
        self._left_out = 0

    @property
    def left_out(self):
        """Number of suppressed lines of all kinds."""
        return self._left_out

    def admit(self, kind, now_ms):
        """Decide whether a line is written, and count the line.

        Parameters
        ----------
        kind : tuple of str
            Event and reason of the line; the reason may be empty.
        now_ms : float
            Current time on the monotonic clock in milliseconds.

        Returns
        -------
        left_out : int or None
            None if the line is suppressed; otherwise the number of lines of this kind
            suppressed in the window before, nonzero only for the first line of a
            window.
        """
        state = self._kinds.get(kind)
        if state is None:
            self._kinds[kind] = _KindState(now_ms, 1)
            return 0
        left_out = 0
        if now_ms - state.window_start_ms >= WINDOW_MS:
            left_out = state.left_out
            state.window_start_ms, state.written, state.left_out = now_ms, 0, 0
        if state.written >= LINES_PER_S:
            state.left_out += 1
            self._left_out += 1
            return None
        state.written += 1
        return left_out
