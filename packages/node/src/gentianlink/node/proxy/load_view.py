"""How busy each endpoint looks from this node."""

import collections


class LoadView:
    """Own outstanding calls for each target."""

    def __init__(self):
        self._outstanding = collections.Counter()

    def get_load(self, endpoint):
        """Return the load of an endpoint; 1 or more means no known free slot.

        Parameters
        ----------
        endpoint : Endpoint
            The endpoint.

        Returns
        -------
        float
            Outstanding calls for each slot.
        """
        return self._outstanding[endpoint.target_id] / max(1, endpoint.slots)

    def begin(self, target_id):
        """Count a call that was sent to a target."""
        self._outstanding[target_id] += 1

    def end(self, target_id):
        """Count a call that is over."""
        self._outstanding[target_id] -= 1
        if not self._outstanding[target_id]:
            del self._outstanding[target_id]
