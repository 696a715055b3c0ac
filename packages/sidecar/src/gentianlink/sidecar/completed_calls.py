"""Requests that a target has recently completed, and that therefore don't crash it."""

# At a hundred calls a second, those of the last twenty seconds.
MAX_COMPLETED = 2048


class CompletedCalls:
    """Fingerprints of the calls that this node's target completed most recently.

    A request that many callers make is in flight at each crash of a target; without
    this memory it would be suspected of them.
    """

    def __init__(self):
        # In the order of the last completion.
        self._fingerprints = {}

    def note(self, fingerprint):
        """Record that the target has completed a call."""
        self._fingerprints.pop(fingerprint, None)
        self._fingerprints[fingerprint] = None
        if len(self._fingerprints) > MAX_COMPLETED:
            del self._fingerprints[next(iter(self._fingerprints))]

    def take(self, fingerprint):
        """Return whether a call in flight at a crash is known to be harmless.

        It counts as harmless once: a request may have begun to crash a new release of
        the target.
        """
        is_known = fingerprint in self._fingerprints
        self._fingerprints.pop(fingerprint, None)
        return is_known
