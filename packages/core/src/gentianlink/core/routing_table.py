"""The routing table: an immutable snapshot of routes and their endpoints."""

import attrs

from gentianlink.core.endpoint import Endpoint
from gentianlink.core.entry import Entry


@attrs.frozen
class Route:
    """A route with its entry and endpoints.

    The route contains the endpoints, not their names, so it cannot refer to an
    endpoint that is missing.

    Attributes
    ----------
    entry : Entry
        Entry of the catalogue.
    endpoints : tuple of Endpoint
        Endpoints that accept new calls.
    panic_threshold : float
        Share of endpoints that must be healthy; below it, health is ignored.
    """

    entry: Entry
    endpoints: tuple[Endpoint, ...]
    panic_threshold: float


@attrs.frozen
class RoutingTable:
    """Routes of one catalogue version, resolved against one membership view.

    Attributes
    ----------
    version : int
        Version of the catalogue.
    routes : dict of str to Route
        Routes by path prefix.
    """

    version: int = 0
    routes: dict[str, Route] = attrs.field(factory=dict)
