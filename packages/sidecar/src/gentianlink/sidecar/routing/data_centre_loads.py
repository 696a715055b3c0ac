"""Loads of other data centres, from the answers to calls that were sent there."""

import math

import attrs

# Weight of the newest report in the mean load of a data centre, and of the first one.
REPORT_WEIGHT = 0.3
FIRST_WEIGHT = 0.7
# Load of a data centre of which nothing is known: low enough that calls that would gain
# are sent there, as only answers to calls show the load.
UNKNOWN_LOAD = 0.6
# Load that a target with waiting calls stands for.
OVERLOAD = 1.2
# Time constant in milliseconds with which a mean returns to the load of an unknown one.
# An overloaded data centre is tried again after about 8 s.
FORGET_MS = 15_000.0
# Reports of waiting calls in a row after which a data centre counts as short of
# capacity. Each one more doubles the time until it is tried again, up to the limit.
SHORT_STREAK = 3
MAX_FORGET_FACTOR = 4


@attrs.define
class _Mean:
    load: float
    updated_ms: float
    full_streak: int = 0


class DataCentreLoads:
    """Mean load of the targets of a service by data centre."""

    def __init__(self):
        self._means = {}

    def report(self, service, data_centre, load, slots, now_ms):
        """Add the load report of a target.

        Parameters
        ----------
        service : str
            Service of the target.
        data_centre : str
            Its data centre.
        load : TargetLoad
            Reported load.
        slots : float
            Slots of the target.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        is_full = load.waiting > 0
        value = OVERLOAD if is_full else load.in_flight / max(1.0, slots)
        mean = self._means.get((service, data_centre))
        weight = REPORT_WEIGHT
        if mean is None:
            mean = self._means[service, data_centre] = _Mean(UNKNOWN_LOAD, now_ms)
            weight = FIRST_WEIGHT
        present = _forget(mean, now_ms)
        mean.full_streak = mean.full_streak + 1 if is_full else 0
        is_short = mean.full_streak >= SHORT_STREAK
        mean.load = OVERLOAD if is_short else present + weight * (value - present)
        mean.updated_ms = now_ms

    def get_load(self, service, data_centre, now_ms):
        """Return the mean load of a data centre.

        Parameters
        ----------
        service : str
            Service of the call.
        data_centre : str
            The data centre.
        now_ms : float
            Present time on the monotonic clock in milliseconds.

        Returns
        -------
        float
            Share of the slots in use, up to :data:`OVERLOAD`.
        """
        mean = self._means.get((service, data_centre))
        return UNKNOWN_LOAD if mean is None else _forget(mean, now_ms)

    def list_loads(self, now_ms):
        """Return service, data centre and mean load of all that are known."""
        return [(*key, _forget(mean, now_ms)) for key, mean in self._means.items()]


def _forget(mean, now_ms):
    factor = min(MAX_FORGET_FACTOR, 2 ** max(0, mean.full_streak - SHORT_STREAK))
    weight = math.exp(min(0.0, mean.updated_ms - now_ms) / (factor * FORGET_MS))
    return UNKNOWN_LOAD + weight * (mean.load - UNKNOWN_LOAD)
