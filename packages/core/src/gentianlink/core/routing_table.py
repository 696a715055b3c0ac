"""The routing table: one immutable value with everything that a route needs."""

import attrs

from gentianlink.core.endpoint import Endpoint
from gentianlink.core.entry import Entry


@attrs.frozen
class Route:
    """A route with its entry and the endpoints themselves, never their names.

    Attributes
    ----------
    entry : Entry
        Entry of the catalogue.
    endpoints : tuple of Endpoint
        Endpoints that take new work.
    panic_threshold : float
        Share of endpoints that must look healthy for health to be believed.
    """

    entry: Entry
    endpoints: tuple[Endpoint, ...]
    panic_threshold: float


@attrs.frozen
class RoutingTable:
    """Routes of one catalogue version over one view of the membership.

    Attributes
    ----------
    version : int
        Version of the catalogue.
    routes : dict of str to Route
        Routes by path prefix.
    """

    version: int = 0
    routes: dict[str, Route] = attrs.field(factory=dict)
