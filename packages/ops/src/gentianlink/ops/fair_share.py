"""Max-min fair shares of a limit."""


def compute_fair_share(demands, capacity):
    """Return the largest share that each demand may have.

    Demands below the share are met whole; what they leave is divided equally between
    the others.

    Parameters
    ----------
    demands : iterable of float
        What each participant asks for.
    capacity : float
        What there is.

    Returns
    -------
    float
        The share; the capacity itself if all demands fit.
    """
    left = capacity
    ordered = sorted(demands)
    for index, demand in enumerate(ordered):
        share = left / (len(ordered) - index)
        if demand > share:
            return share
        left -= demand
    return capacity
