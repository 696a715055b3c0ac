"""A routing rule of the distributed catalogue."""

import attrs

from gentianlink.core.service_weight import ServiceWeight


@attrs.frozen
class Rule:
    """Services for the calls of a host and path prefix, with their limits.

    Attributes
    ----------
    name : str
        Name of the rule.
    host : str
        Host name in the ``Host`` header, without the port, in lower case.
    prefix : str
        Path prefix of the calls; begins and ends with a slash.
    is_repeatable : bool
        Whether a call may be executed more than once.
    timeout_ms : float
        Maximum time in milliseconds until the final answer.
    target_latency_ms : float
        Latency objective in milliseconds; a later answer is worth less.
    priority : int
        Priority of the calls; 0 is the most urgent.
    max_targets : int
        Maximum number of targets that one call may be sent to.
    split : tuple of ServiceWeight
        Weighted services; a single one if the traffic is not split.
    is_public : bool
        Whether a call needs no API key although the catalogue has tenants.
    """

    name: str
    host: str
    prefix: str
    is_repeatable: bool
    timeout_ms: float
    target_latency_ms: float
    priority: int
    max_targets: int
    split: tuple[ServiceWeight, ...]
    is_public: bool = False
