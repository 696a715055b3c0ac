"""Choose an endpoint for a call."""

import random

NO_FREE_SLOT = 1.0
SPILL_LOAD = 0.8


def choose_endpoint(route, own_record, endpoints, get_load, excluded=(), rng=random):
    """Choose a local target with a free slot, else by the power of two choices.

    The candidates are the endpoints of one data centre: the first, of the preferred
    ones in order and then this node's own, with an endpoint below the spill load. If
    no data centre has one, the candidates are all endpoints with a free slot, or all
    endpoints if no slot is free. Unless a local target among the candidates has a free
    slot, two of them are drawn at random and the less loaded one is chosen.

    Parameters
    ----------
    route : Route
        Route of the call.
    own_record : NodeRecord
        Record of this node.
    endpoints : sequence of Endpoint
        Endpoints of the route that this node does not avoid.
    get_load : callable
        Returns the load of an endpoint; 1 or more means no free slot.
    excluded : collection of str, optional
        Names of targets that earlier attempts of the call have used.
    rng : random.Random, optional
        Source of randomness.

    Returns
    -------
    Endpoint or None
        The chosen endpoint, None if there is no candidate.
    """
    if excluded:
        endpoints = [item for item in endpoints if item.target_id not in excluded]
    candidates = _get_candidates(
        route.entry.prefer, own_record.data_centre, endpoints, get_load
    )
    for endpoint in candidates:
        if endpoint.node_id == own_record.node_id and get_load(endpoint) < NO_FREE_SLOT:
            return endpoint
    return _choose_less_loaded_of_two(candidates, get_load, rng)


def _get_candidates(prefer, data_centre, endpoints, get_load):
    for name in (*prefer, data_centre):
        nearby = [item for item in endpoints if item.data_centre == name]
        if any(get_load(item) < SPILL_LOAD for item in nearby):
            return nearby
    free = [item for item in endpoints if get_load(item) < NO_FREE_SLOT]
    return free or endpoints


def _choose_less_loaded_of_two(candidates, get_load, rng):
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
