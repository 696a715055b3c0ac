"""A tenant of the distributed catalogue."""

import attrs


@attrs.frozen
class Tenant:
    """Group of callers that share API keys and a limit.

    Attributes
    ----------
    name : str
        Name that targets receive in place of the key.
    keys : tuple of str
        API keys; any of them identifies the tenant. Never shown.
    priority : int or None
        Priority of the tenant's calls in place of the rule's, 0 is the most urgent;
        None if the rule decides.
    rate_per_s : float
        Calls a second that are allowed over all nodes; 0 for no limit.
    burst : float
        Calls allowed in any window in addition to those of the rate.
    """

    name: str
    keys: tuple[str, ...] = attrs.field(repr=False)
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0

    @property
    def is_limited(self):
        """Whether the tenant has a limit."""
        return self.rate_per_s > 0
