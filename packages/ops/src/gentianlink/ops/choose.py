"""Choose an endpoint for a call."""

import random

NO_FREE_SLOT = 1.0
SPILL_LOAD = 0.8


def choose_endpoint(route, own_record, endpoints, get_load, excluded=(), rng=random):
    """Choose the local target if it has a free slot, else by two random candidates.

    Candidates are the endpoints of the preferred data centres, then of this node's
    own, as long as any of them is below the spill load; then all endpoints with a free
    slot, and all endpoints if there is none.

    Parameters
    ----------
    route : Route
        Route of the call.
    own_record : NodeRecord
        Record of this node.
    endpoints : sequence of Endpoint
        Endpoints of the route that are not avoided.
    get_load : callable
        Returns the load of an endpoint; 1 or more means no free slot.
    excluded : collection of str, optional
        Names of targets that earlier attempts have tried.
    rng : random.Random, optional
        Source of randomness.

    Returns
    -------
    Endpoint or None
        The choice, None if there is no candidate.
    """
    if excluded:
        endpoints = [item for item in endpoints if item.target_id not in excluded]
    near = _get_near(route.entry.prefer, own_record.data_centre, endpoints, get_load)
    for endpoint in near:
        if endpoint.node_id == own_record.node_id and get_load(endpoint) < NO_FREE_SLOT:
            return endpoint
    return _choose_of_two(near, get_load, rng)


def _get_near(prefer, data_centre, endpoints, get_load):
    for name in (*prefer, data_centre):
        near = [item for item in endpoints if item.data_centre == name]
        if any(get_load(item) < SPILL_LOAD for item in near):
            return near
    free = [item for item in endpoints if get_load(item) < NO_FREE_SLOT]
    return free or endpoints


def _choose_of_two(candidates, get_load, rng):
    count = len(candidates)
    if count <= 1:
        return candidates[0] if candidates else None
    first = int(rng.random() * count)
    second = int(rng.random() * (count - 1))
    if second >= first:
        second += 1
    if get_load(candidates[first]) <= get_load(candidates[second]):
        return candidates[first]
    return candidates[second]
