"""Fair shares of a full queue, between owners and between the callers of an owner."""

import collections


def find_displaced(waiting, owner, caller):
    """Return the waiting call that gives its place to a new one.

    The owner with the most waiting calls gives up a place if it has more than the new
    call's owner would then have; within one owner the same holds for its callers.
    The newest call of the largest share is the one to go.

    Parameters
    ----------
    waiting : sequence of WaitingCall
        The queue, oldest first.
    owner : str
        Owner of the new call's entry.
    caller : str
        Caller of the new call.

    Returns
    -------
    WaitingCall or None
        None if the new call's share is already as large as any other.
    """
    if not waiting:
        return None
    owners = collections.Counter(item.owner for item in waiting)
    largest, count = owners.most_common(1)[0]
    if count > owners[owner] + 1:
        return _find_newest_of_largest_caller(waiting, largest)
    own = [item for item in waiting if item.owner == owner]
    callers = collections.Counter(item.caller for item in own)
    if not callers or callers.most_common(1)[0][1] <= callers[caller] + 1:
        return None
    return _find_newest_of_largest_caller(own, owner)


def _find_newest_of_largest_caller(waiting, owner):
    own = [item for item in waiting if item.owner == owner]
    callers = collections.Counter(item.caller for item in own)
    largest = callers.most_common(1)[0][0]
    return [item for item in own if item.caller == largest][-1]
