"""Load balancing: choose the target of a call among those of its service."""

import random

import attrs

# Share of its slots that a cold target is counted with: just after its start a target
# works at about half of its speed.
COLD_SHARE = 0.5
# Times that differ by less than this factor count as equal: published times of equal
# targets differ by up to 1.35 because of their steps.
EVEN_RATIO = 1.5
# Cost in milliseconds of a round trip to another data centre, including the price of
# the bytes sent.
OTHER_DATA_CENTRE_MS = 20.0
# A call that found this number of targets full queues at the one with the shortest
# reported wait: another forward costs time and bytes, and is as likely to find a full
# target.
MAX_FULL = 3


@attrs.frozen
class Candidate:
    """A target that a call may be sent to, with its estimated load.

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
        Calls that the target executes at once, fewer while it is cold.
    in_flight : int
        Calls that the target executes now.
    waiting : int
        Calls that wait for a slot of the target.
    wait_ms : float
        Estimated time in milliseconds until a new call gets a slot.
    is_load_known : bool
        Whether the node beside the target has reported its load recently; a target
        without a recent report looks free.
    version : str
        Version of the target's software, empty if unknown.
    work_ms : tuple of tuple of str and int
        Typical execution times in milliseconds by name of rule.
    data_centre : str
        Data centre of the target.
    """

    node_id: str
    target_id: str
    is_own: bool
    is_near: bool
    slots: float
    in_flight: int
    waiting: int
    wait_ms: float
    is_load_known: bool = True
    version: str = ""
    work_ms: tuple[tuple[str, int], ...] = ()
    data_centre: str = ""

    def get_work_ms(self, rule_name):
        """Return the typical execution time of a rule in milliseconds, 0 if unknown."""
        for name, milliseconds in self.work_ms:
            if name == rule_name:
                return milliseconds
        return 0

    @property
    def free(self):
        """Slots that are neither in use nor awaited by a queued call."""
        return self.slots - self.in_flight - self.waiting

    @property
    def free_share(self):
        """Share of the slots that are free."""
        return self.free / max(1.0, self.slots)


@attrs.frozen
class Choice:
    """The target of a call.

    Attributes
    ----------
    candidate : Candidate
        The target.
    may_wait : bool
        Whether the call may wait for a slot there, as no other target looks free.
    why : str
        Why this target, for logs and metrics; empty if it was not chosen by time.
    near_loss_ms, gain_ms : float
        Expected loss of a call in its own data centre, and what it gains by leaving
        that one, in milliseconds of its objective; 0 if it does not leave.
    """

    candidate: Candidate
    may_wait: bool
    why: str = ""
    near_loss_ms: float = 0.0
    gain_ms: float = 0.0


def choose_target(candidates, full=frozenset(), rng=random):
    """Return the target that a call should be sent to next.

    A free target beside this node is preferred, then a free one in the same data
    centre, then any free one; within a group, the one with the larger free share of two
    random choices. If no target looks free, or :data:`MAX_FULL` were found full, the
    call is sent to the target with the shortest wait, including the cost of the
    transfer, among those with a recent load report. In a large deployment a node has
    such reports of few targets, and the others look free.

    Parameters
    ----------
    candidates : sequence of Candidate
        Targets that the call may be sent to.
    full : set of str, optional
        Names of targets that refused this call because they had no free slot; the call
        did not wait there and may still be sent there to wait.
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
        reported = [item for item in candidates if item.is_load_known]
        return Choice(min(reported or candidates, key=_compute_cost_ms), True)
    return Choice(choose_free(candidates, full, rng), len(free) == 1)


def choose_free(candidates, full=frozenset(), rng=random):
    """Return a target with a free slot, preferably beside or near this node.

    Parameters
    ----------
    candidates : sequence of Candidate
        Targets that the call may be sent to.
    full : set of str, optional
        Names of targets that refused this call because they had no free slot.
    rng : random.Random, optional
        Source of randomness.

    Returns
    -------
    Candidate or None
        None if no target looks free.
    """
    free = _list_free(candidates, full)
    if not free:
        return None
    own = [item for item in free if item.is_own]
    near = [item for item in free if item.is_near]
    return choose_less_loaded(own or near or free, rng)


def _list_free(candidates, full):
    return [
        item for item in candidates if item.free >= 1 and item.target_id not in full
    ]


def _compute_cost_ms(candidate):
    transfer_ms = 0.0 if candidate.is_near else OTHER_DATA_CENTRE_MS
    return candidate.wait_ms + transfer_ms


def choose_less_loaded(candidates, rng=random):
    """Return the one with the larger free share of two random candidates."""
    if len(candidates) == 1:
        return candidates[0]
    return max(rng.sample(candidates, 2), key=lambda item: item.free_share)
