"""A service named by the catalogue."""

import attrs


@attrs.frozen
class Service:
    """A service that targets may announce.

    Attributes
    ----------
    name : str
        Name of the service.
    owner : str
        Team responsible for the service.
    panic_threshold : float
        Share of targets that must be healthy; below it, health is ignored.
    """

    name: str
    owner: str
    panic_threshold: float = 0.5
