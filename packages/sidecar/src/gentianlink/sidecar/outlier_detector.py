"""Outlier ejection: detect from call outcomes that a target fails most of its calls.

A target may pass its health checks and fail every call. Such a target has free slots
more often than the others, so it would attract more than its share of the calls.
"""

import collections

import attrs

# Only the newest outcomes count, and only for this time: a target seldom fails for
# longer than some seconds.
MAX_OUTCOMES = 10
OUTCOME_LIFETIME_MS = 4000.0
# Number of outcomes and share of failures that eject a target: one that answers half of
# its calls is still useful when the others are full.
MIN_OUTCOMES = 7
FAILED_SHARE = 0.85
# After an ejection the target is on probation: if its first outcomes, this number of
# them, are all failures, it is ejected again for a longer time.
FIRST_EJECTION_MS = 2000.0
MAX_EJECTION_MS = 8000.0
EJECTION_GROWTH = 2.0
PROBATION_OUTCOMES = 2


@attrs.frozen
class _Outcome:
    at_ms: float
    is_failure: bool


class OutlierDetector:
    """Recent outcomes of the calls that a target executed, and its ejection."""

    def __init__(self):
        self._outcomes = collections.deque(maxlen=MAX_OUTCOMES)
        self._ejected_until_ms = 0.0
        self._next_ejection_ms = FIRST_EJECTION_MS
        self._is_on_probation = False

    def is_failing(self, now_ms):
        """Return whether the target is ejected: calls should go to other targets.

        Parameters
        ----------
        now_ms : float
            Present time on the monotonic clock in milliseconds.

        Returns
        -------
        bool
            Whether the target failed most of its recent calls.
        """
        return now_ms < self._ejected_until_ms

    def record(self, is_failure, now_ms):
        """Record the outcome of a call.

        Parameters
        ----------
        is_failure : bool
            Whether the target failed the call.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        # Calls that end during an ejection began before it and show nothing new.
        if self.is_failing(now_ms):
            return
        self._outcomes.append(_Outcome(now_ms, is_failure))
        recent = [
            item
            for item in self._outcomes
            if now_ms - item.at_ms <= OUTCOME_LIFETIME_MS
        ]
        failures = sum(item.is_failure for item in recent)
        if self._is_on_probation and len(recent) <= PROBATION_OUTCOMES:
            is_failing = failures >= PROBATION_OUTCOMES
        else:
            is_failing = len(recent) >= MIN_OUTCOMES and failures >= FAILED_SHARE * len(
                recent
            )
        if is_failing:
            self._eject(now_ms)
        elif self._is_on_probation and len(recent) >= MIN_OUTCOMES:
            self._is_on_probation = False
            self._next_ejection_ms = FIRST_EJECTION_MS

    def _eject(self, now_ms):
        self._ejected_until_ms = now_ms + self._next_ejection_ms
        self._next_ejection_ms = min(
            MAX_EJECTION_MS, EJECTION_GROWTH * self._next_ejection_ms
        )
        self._is_on_probation = True
        self._outcomes.clear()
