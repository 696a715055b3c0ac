"""Passive health checks: ejection of endpoints after failed calls of this node.

Failed calls are seen long before a failure is gossiped, so the first one ejects the
endpoint. The ejection is local to this node and bounded in time, so that one bad
network path can't take an endpoint away from the whole fleet.
"""

import attrs

EJECTION_FIRST_MS = 1000
EJECTION_MAX_MS = 15_000
MAX_EJECTED_TARGETS = 10_000


@attrs.define
class _Ejection:
    until_ms: float
    failures: int


def compute_ejection_ms(failures):
    """Return for how long an endpoint is ejected.

    Parameters
    ----------
    failures : int
        Consecutive failures, each after the end of the previous ejection.

    Returns
    -------
    int
        Time in milliseconds.
    """
    return min(EJECTION_MAX_MS, EJECTION_FIRST_MS * 2 ** min(failures - 1, 16))


class EndpointHealth:
    """Ejected endpoints by name of the target."""

    def __init__(self):
        self._ejections = {}

    def report_success(self, target_id, now_ms):
        """End the ejection of an endpoint that answered a call.

        Parameters
        ----------
        target_id : str
            Name of the target.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        self._ejections.pop(target_id, None)

    def report_failure(self, target_id, kind, now_ms):
        """Eject an endpoint after a failed call.

        Failures during the ejection come from calls that were in flight when it
        began, so they don't prolong it.

        Parameters
        ----------
        target_id : str
            Name of the target.
        kind : FailureKind
            How the call failed.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        ejection = self._ejections.get(target_id)
        if ejection is not None and now_ms < ejection.until_ms:
            return
        failures = 1
        if ejection is not None and now_ms < ejection.until_ms + EJECTION_MAX_MS:
            failures = ejection.failures + 1
        self._limit_size(now_ms)
        until_ms = now_ms + compute_ejection_ms(failures)
        self._ejections[target_id] = _Ejection(until_ms, failures)

    def _limit_size(self, now_ms):
        if len(self._ejections) < MAX_EJECTED_TARGETS:
            return
        self._ejections = {
            target_id: ejection
            for target_id, ejection in self._ejections.items()
            if now_ms < ejection.until_ms
        }
        if len(self._ejections) >= MAX_EJECTED_TARGETS:
            self._ejections.clear()

    def is_ejected(self, target_id, now_ms):
        """Return whether an endpoint is ejected.

        Parameters
        ----------
        target_id : str
            Name of the target.
        now_ms : float
            Present time on the monotonic clock in milliseconds.

        Returns
        -------
        bool
            True for a bounded time after a failed call.
        """
        ejection = self._ejections.get(target_id)
        return ejection is not None and now_ms < ejection.until_ms

    def forget(self, target_id):
        """Drop the ejection of a target, for example after its restart."""
        self._ejections.pop(target_id, None)

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
            Endpoints that are not ejected; all endpoints if the share of those is below
            the panic threshold of the route.
        """
        if not self._ejections:
            return route.endpoints
        usable = tuple(
            endpoint
            for endpoint in route.endpoints
            if not self.is_ejected(endpoint.target_id, now_ms)
        )
        if len(usable) < route.panic_threshold * len(route.endpoints):
            return route.endpoints
        return usable or route.endpoints
