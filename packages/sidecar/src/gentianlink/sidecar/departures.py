"""Targets that have said that they leave, also those that were not known then."""

from gentianlink.core.target_state import TargetState
from gentianlink.sidecar.target_info import TargetInfo

# Oldest first, more are forgotten. A node sees a new target every few seconds at most.
MAX_DEPARTURES = 64


class Departures:
    """Names of targets that have left, with the latest start that this is said of."""

    def __init__(self):
        self._started_ms = {}

    def note(self, target_id, started_ms):
        """Record that the processes of a target have left.

        Parameters
        ----------
        target_id : str
            Name of the target.
        started_ms : int
            Those that started by this time have left, in milliseconds since the epoch.
        """
        known_ms = self._started_ms.pop(target_id, started_ms)
        self._started_ms[target_id] = max(known_ms, started_ms)
        if len(self._started_ms) > MAX_DEPARTURES:
            del self._started_ms[next(iter(self._started_ms))]

    def has_left(self, target_id, started_ms):
        """Return whether a process of a target has left."""
        return started_ms <= self._started_ms.get(target_id, -1)


def make_departed(target_id, service, started_ms):
    """Return the state of a target of which nothing is known but that it has left.

    It is published and stored like any other state, so that the departure outlives
    this process.

    Parameters
    ----------
    target_id : str
        Name of the target.
    service : str
        Service of the targets beside this node.
    started_ms : int
        Processes that started by this time have left.

    Returns
    -------
    TargetInfo
        State without slots.
    """
    return TargetInfo(target_id, service, 0, TargetState.LEFT, started_ms, 0)


def is_departed(info):
    """Return whether a state says nothing but that its target has left."""
    return info.slots == 0 and info.state is TargetState.LEFT
