"""Choose the target of a call among those of its service."""

import random

import attrs

# A target that has just started works at about half of its speed.
COLD_SHARE = 0.5
# Time in milliseconds that a way to another data centre costs, there and back, with
# the price of its bytes.
OTHER_DATA_CENTRE_MS = 20.0
# A call that found so many targets full waits at the best one it knows: another way
# costs time and bytes, and is as likely to lead to a full one.
MAX_FULL = 3


@attrs.frozen
class Candidate:
    """A target that a call may go to.

    Attributes
    ----------
    node_id : str
        Node beside the target.
    target_id : str
        Name of the target.
    is_own : bool
        Whether the target is beside this node.
    is_near : bool
        Whether the target is in this node's data centre.
    slots : float
        Calls that it executes at once, fewer while it is cold.
    in_flight : int
        Calls that it executes.
    waiting : int
        Calls that wait for it.
    wait_ms : float
        Time in milliseconds until a new call gets a slot.
    is_known : bool
        Whether its node has told its load lately; otherwise it looks free.
    """

    node_id: str
    target_id: str
    is_own: bool
    is_near: bool
    slots: float
    in_flight: int
    waiting: int
    wait_ms: float
    is_known: bool = True

    @property
    def free(self):
        """Slots that a new call could take now."""
        return self.slots - self.in_flight - self.waiting

    @property
    def free_share(self):
        """Share of the slots that is free."""
        return self.free / max(1.0, self.slots)


@attrs.frozen
class Choice:
    """The target of a call.

    Attributes
    ----------
    candidate : Candidate
        The target.
    may_wait : bool
        Whether the call may wait there, as no other target looks free.
    """

    candidate: Candidate
    may_wait: bool


def choose_target(candidates, full=frozenset(), rng=random):
    """Return the target that a call should go to next.

    A free slot beside this node comes first, then one in the same data centre, then
    one anywhere, each time of the target with the largest free share of two. If none
    looks free, or a few were found full, the call goes where the wait is shortest. In a
    large deployment a node knows the load of few targets, and the others look free.

    Parameters
    ----------
    candidates : sequence of Candidate
        Targets that the call may go to.
    full : set of str, optional
        Names of targets that had no free slot for this call; it did not wait there.
    rng : random.Random, optional
        Source of randomness.

    Returns
    -------
    Choice or None
        None if there is no candidate.
    """
    if not candidates:
        return None
    free = _list_free(candidates, full)
    if not free or len(full) >= MAX_FULL:
        known = [item for item in candidates if item.is_known]
        return Choice(min(known or candidates, key=_compute_cost_ms), True)
    return Choice(choose_free(candidates, full, rng), len(free) == 1)


def choose_free(candidates, full=frozenset(), rng=random):
    """Return the best target that looks free.

    Parameters
    ----------
    candidates : sequence of Candidate
        Targets that the call may go to.
    full : set of str, optional
        Names of targets that had no free slot for this call.
    rng : random.Random, optional
        Source of randomness.

    Returns
    -------
    Candidate or None
        None if none looks free.
    """
    free = _list_free(candidates, full)
    if not free:
        return None
    own = [item for item in free if item.is_own]
    near = [item for item in free if item.is_near]
    return _choose_of_two(own or near or free, rng)


def _list_free(candidates, full):
    return [
        item for item in candidates if item.free >= 1 and item.target_id not in full
    ]


def _compute_cost_ms(candidate):
    way_ms = 0.0 if candidate.is_near else OTHER_DATA_CENTRE_MS
    return candidate.wait_ms + way_ms


def _choose_of_two(candidates, rng):
    if len(candidates) == 1:
        return candidates[0]
    return max(rng.sample(candidates, 2), key=lambda item: item.free_share)
