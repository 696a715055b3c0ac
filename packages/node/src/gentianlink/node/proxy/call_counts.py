"""Counters of the calls that this node has answered."""

import collections

from gentianlink.core.outcome import Outcome

NO_CLASS = "none"


class CallCounts:
    """Counts calls by work class and outcome, and refusals by reason."""

    def __init__(self):
        self._calls = collections.Counter()
        self._refusals = collections.Counter()

    @property
    def outcomes(self):
        """Numbers of calls by outcome; 0 for outcomes that have not occurred."""
        totals = dict.fromkeys(Outcome, 0)
        for (_, outcome), count in self._calls.items():
            totals[outcome] += count
        return totals

    @property
    def by_class(self):
        """Numbers of calls, keyed by class and outcome in a text like ``read done``."""
        return {
            f"{work_class} {outcome.value}": count
            for (work_class, outcome), count in self._calls.items()
        }

    @property
    def refusals(self):
        """Numbers of refused calls by reason."""
        return {reason.value: count for reason, count in self._refusals.items()}

    def record_call(self, work_class, refusal):
        """Count a call that was answered.

        Parameters
        ----------
        work_class : WorkClass or None
            Class of the entry, None if no entry matched.
        refusal : Refusal or None
            None if a whole answer was relayed.
        """
        name = work_class.value if work_class else NO_CLASS
        if refusal is None:
            self._calls[name, Outcome.DONE] += 1
            return
        self._calls[name, refusal.outcome] += 1
        self._refusals[refusal.reason] += 1
