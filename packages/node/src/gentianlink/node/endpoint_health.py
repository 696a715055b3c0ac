"""Endpoints that this node avoids because its own calls to them failed.

Outcomes of real calls are seen long before a rumour arrives, so they act at once;
they act on this node only and for a bounded time, so one bad path can't take an
endpoint away from the whole fleet.
"""

import attrs

AVOID_FIRST_MS = 1000
AVOID_MAX_MS = 15_000
MAX_AVOIDED_TARGETS = 10_000


@attrs.define
class _Avoidance:
    until_ms: float
    failures: int


def compute_avoid_ms(failures):
    """Return for how long an endpoint is avoided.

    Parameters
    ----------
    failures : int
        Failures in a row, each after the end of the avoidance before it.

    Returns
    -------
    int
        Time in milliseconds.
    """
    return min(AVOID_MAX_MS, AVOID_FIRST_MS * 2 ** min(failures - 1, 16))


class EndpointHealth:
    """Local evidence about endpoints, by name of the target."""

    def __init__(self):
        self._avoidances = {}

    def report_success(self, target_id, now_ms):
        """Take in that an endpoint answered; it is no longer avoided.

        Parameters
        ----------
        target_id : str
            Name of the target.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        self._avoidances.pop(target_id, None)

    def report_failure(self, target_id, kind, now_ms):
        """Take in that a call failed; the endpoint is avoided at once.

        Further failures while it is avoided come from calls that were already on
        their way, so they don't prolong the avoidance.

        Parameters
        ----------
        target_id : str
            Name of the target.
        kind : FailureKind
            How the call failed.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        known = self._avoidances.get(target_id)
        if known is not None and now_ms < known.until_ms:
            return
        failures = 1
        if known is not None and now_ms < known.until_ms + AVOID_MAX_MS:
            failures = known.failures + 1
        self._make_room(now_ms)
        until_ms = now_ms + compute_avoid_ms(failures)
        self._avoidances[target_id] = _Avoidance(until_ms, failures)

    def _make_room(self, now_ms):
        if len(self._avoidances) < MAX_AVOIDED_TARGETS:
            return
        self._avoidances = {
            target_id: known
            for target_id, known in self._avoidances.items()
            if now_ms < known.until_ms
        }
        if len(self._avoidances) >= MAX_AVOIDED_TARGETS:
            self._avoidances.clear()

    def is_avoided(self, target_id, now_ms):
        """Return whether calls should go elsewhere if they can.

        Parameters
        ----------
        target_id : str
            Name of the target.
        now_ms : float
            Present time on the monotonic clock in milliseconds.

        Returns
        -------
        bool
            True for a bounded time after a failure.
        """
        known = self._avoidances.get(target_id)
        return known is not None and now_ms < known.until_ms

    def forget(self, target_id):
        """Drop the evidence about a target, such as after its restart."""
        self._avoidances.pop(target_id, None)

    def get_usable_endpoints(self, route, now_ms):
        """Return the endpoints of a route that calls should go to.

        Parameters
        ----------
        route : Route
            Route of the current table.
        now_ms : float
            Present time on the monotonic clock in milliseconds.

        Returns
        -------
        tuple of Endpoint
            Endpoints that are not avoided. If their share is under the route's panic
            threshold, the evidence is not believed and all endpoints are returned.
        """
        if not self._avoidances:
            return route.endpoints
        usable = tuple(
            endpoint
            for endpoint in route.endpoints
            if not self.is_avoided(endpoint.target_id, now_ms)
        )
        if len(usable) < route.panic_threshold * len(route.endpoints):
            return route.endpoints
        return usable or route.endpoints
