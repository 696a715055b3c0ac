"""Max-min fair shares of a capacity."""


def compute_fair_share(demands, capacity):
    """Return the max-min fair share, the most that each participant may use.

    Demands below the share are met in full; the rest of the capacity is divided equally
    between the other participants.

    Parameters
    ----------
    demands : iterable of float
        Demand of each participant.
    capacity : float
        Capacity to divide.

    Returns
    -------
    float
        The share; the capacity itself if all demands fit.
    """
    remaining = capacity
    ordered = sorted(demands)
    for index, demand in enumerate(ordered):
        share = remaining / (len(ordered) - index)
        if demand > share:
            return share
        remaining -= demand
    return capacity
