"""Orders in which a gate admits queued calls."""


def pick_oldest(waiting):
    """Return the index of the call that has waited longest."""
    return 0


def pick_newest(waiting):
    """Return the index of the call that has waited for the shortest time."""
    return len(waiting) - 1


def pick_earliest_deadline(waiting):
    """Return the index of the call with the earliest deadline."""
    return min(range(len(waiting)), key=lambda index: waiting[index].deadline_ms)
