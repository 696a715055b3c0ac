"""Choose an endpoint for a call."""

import random


def choose_endpoint(route, data_centre, get_load, excluded=(), rng=random):
    """Choose by two random candidates, the caller's own data centre first.

    Parameters
    ----------
    route : Route
        Route of the call.
    data_centre : str
        Data centre of this node.
    get_load : callable
        Returns the load of an endpoint; lower is better.
    excluded : collection of str, optional
        Names of targets that earlier attempts have tried.
    rng : random.Random, optional
        Source of randomness.

    Returns
    -------
    Endpoint or None
        The choice, None if there is no candidate.
    """
    candidates = [item for item in route.endpoints if item.target_id not in excluded]
    for name in (*route.entry.prefer, data_centre):
        near = [item for item in candidates if item.data_centre == name]
        if any(get_load(item) < 1 for item in near):
            candidates = near
            break
    if not candidates:
        return None
    if len(candidates) == 1:
        return candidates[0]
    first, second = rng.sample(candidates, 2)
    return first if get_load(first) <= get_load(second) else second
