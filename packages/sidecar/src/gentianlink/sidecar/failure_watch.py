"""Tell from the answers of a target whether it fails calls that others would serve.

A target may pass its health checks and fail each call. It is free more often than the
others then, so it would get more than its part of the calls.
"""

import collections

import attrs

# The newest answers decide, and only young ones: a target seldom fails for longer than
# some seconds.
MAX_OUTCOMES = 10
MEMORY_MS = 4000.0
# So many answers are needed for a decision, and so large a share of failures: a target
# that answers half of its calls is worth its slots when others are full.
MIN_OUTCOMES = 7
FAILED_SHARE = 0.85
# After this time the target is tried again; so many failures show that it still fails.
FIRST_PAUSE_MS = 2000.0
MAX_PAUSE_MS = 8000.0
PAUSE_GROWTH = 2.0
PROBE_OUTCOMES = 2


@attrs.frozen
class _Outcome:
    at_ms: float
    is_failure: bool


class FailureWatch:
    """Latest outcomes of the calls that a target executed."""

    def __init__(self):
        self._outcomes = collections.deque(maxlen=MAX_OUTCOMES)
        self._failing_until_ms = 0.0
        self._pause_ms = FIRST_PAUSE_MS
        self._is_on_probation = False

    def is_failing(self, now_ms):
        """Return whether calls should go to other targets.

        Parameters
        ----------
        now_ms : float
            Present time on the monotonic clock in milliseconds.

        Returns
        -------
        bool
            Whether the target fails many of its calls.
        """
        return now_ms < self._failing_until_ms

    def record(self, is_failure, now_ms):
        """Take in how a call ended.

        Parameters
        ----------
        is_failure : bool
            Whether the target failed it.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        # Calls that end during the pause began before it and tell nothing new.
        if self.is_failing(now_ms):
            return
        self._outcomes.append(_Outcome(now_ms, is_failure))
        recent = [item for item in self._outcomes if now_ms - item.at_ms <= MEMORY_MS]
        failures = sum(item.is_failure for item in recent)
        if self._is_on_probation and len(recent) <= PROBE_OUTCOMES:
            is_failing = failures >= PROBE_OUTCOMES
        else:
            is_failing = len(recent) >= MIN_OUTCOMES and failures >= FAILED_SHARE * len(
                recent
            )
        if is_failing:
            self._begin_pause(now_ms)
        elif self._is_on_probation and len(recent) >= MIN_OUTCOMES:
            self._is_on_probation = False
            self._pause_ms = FIRST_PAUSE_MS

    def _begin_pause(self, now_ms):
        self._failing_until_ms = now_ms + self._pause_ms
        self._pause_ms = min(MAX_PAUSE_MS, PAUSE_GROWTH * self._pause_ms)
        self._is_on_probation = True
        self._outcomes.clear()
