"""Roll-outs of which a node knows, merged from the states that other nodes pass on."""

from gentianlink.core.rollout import RolloutPhase


class RolloutBoard:
    """Newest known state of the roll-out of each service.

    Parameters
    ----------
    on_changed : callable, optional
        Called with the former state, None if there was none, and the new one.
    """

    def __init__(self, on_changed=lambda before, state: None):
        self._states = {}
        self._on_changed = on_changed
        self._refused = {}

    @property
    def states(self):
        """States of all known roll-outs."""
        return tuple(self._states.values())

    def get(self, service):
        """Return the state of a service's roll-out, None if none is known."""
        return self._states.get(service)

    def get_refused(self, service):
        """Return the versions of a service that were never found to be good.

        They were rolled back, or their roll-out was replaced by another one while it
        was running.
        """
        return self._refused.get(service, frozenset())

    def merge(self, states):
        """Store the states that are newer than the known ones.

        Parameters
        ----------
        states : iterable of RolloutState
            States that another node has passed on, or that this node has decided.

        Returns
        -------
        bool
            Whether any of them was newer.
        """
        newer = [state for state in states if self._is_newer(state)]
        for state in newer:
            before = self._states.get(state.service)
            self._states[state.service] = state
            self._note_refused(before, state)
            self._on_changed(before, state)
        return bool(newer)

    def _note_refused(self, before, state):
        refused = set(self.get_refused(state.service))
        if state.phase is RolloutPhase.ROLLED_BACK:
            refused.add(state.version)
        if before is not None and before.revision < state.revision:
            if before.phase is RolloutPhase.RUNNING:
                refused.add(before.version)
            refused.discard(state.version)
        self._refused[state.service] = frozenset(refused)

    def _is_newer(self, state):
        known = self._states.get(state.service)
        return known is None or known.order < state.order
