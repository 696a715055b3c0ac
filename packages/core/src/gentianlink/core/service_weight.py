"""A service's share of the calls of a rule."""

import attrs


@attrs.frozen
class ServiceWeight:
    """A service and its weight among the services of a rule.

    Attributes
    ----------
    service : str
        Name of the service.
    weight : float
        Share of the calls, relative to the sum of all weights.
    """

    service: str
    weight: float
