"""A service named by the catalogue."""

import attrs


@attrs.frozen
class Service:
    """A service that targets may announce themselves for.

    Attributes
    ----------
    name : str
        Name of the service.
    owner : str
        Team that answers for the service.
    panic_threshold : float
        Share of targets that must look healthy for health to be believed.
    """

    name: str
    owner: str
    panic_threshold: float = 0.5
