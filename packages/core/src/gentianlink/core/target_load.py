"""Use of a target's slots and queue."""

import attrs


@attrs.frozen
class TargetLoad:
    """How busy a target beside a node is.

    Attributes
    ----------
    service : str
        Service of the target.
    state : str
        State that the target announced last.
    in_flight : int
        Calls that hold a slot.
    free_slots : int
        Slots that a new call could take now.
    queued : int
        Calls that wait for a slot.
    """

    service: str
    state: str
    in_flight: int
    free_slots: int
    queued: int
