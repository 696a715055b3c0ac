"""Usage of a target's slots and queue."""

import attrs


@attrs.frozen
class TargetLoad:
    """Load of a target, as counted by its node.

    Attributes
    ----------
    service : str
        Service of the target.
    state : str
        Latest state that the target announced.
    in_flight : int
        Number of calls that occupy a slot.
    free_slots : int
        Slots that are neither occupied nor due to a waiting call.
    queued : int
        Number of calls that wait for a slot.
    """

    service: str
    state: str
    in_flight: int
    free_slots: int
    queued: int
