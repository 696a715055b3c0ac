"""Load of a target at one point in time."""

import attrs


@attrs.frozen
class TargetLoad:
    """Slots of a target in use, and its queue.

    Attributes
    ----------
    in_flight : int
        Number of calls that the target executes.
    waiting : int
        Number of calls that wait for a slot at the node beside the target.
    wait_ms : float
        Estimated time in milliseconds until a new call of the least urgent kind would
        get a slot.
    """

    in_flight: int = 0
    waiting: int = 0
    wait_ms: float = 0.0
