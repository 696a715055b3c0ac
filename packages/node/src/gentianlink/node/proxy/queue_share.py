"""Fair shares of a full queue, between owners and between the callers of an owner."""

import collections


def find_displaced(waiting, owner, caller):
    """Return the queued call to refuse in favour of a new one.

    The owner with the most queued calls loses one if it has more than the new call's
    owner would have with the new call. Otherwise the same rule applies to the callers
    of the new call's owner. The newest call of the largest share is displaced.

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
        None if no other share would be larger than that of the new call.
    """
    if not waiting:
        return None
    owners = collections.Counter(waiter.owner for waiter in waiting)
    largest, count = owners.most_common(1)[0]
    if count > owners[owner] + 1:
        return _find_newest_of_largest_caller(waiting, largest)
    owner_calls = [waiter for waiter in waiting if waiter.owner == owner]
    callers = collections.Counter(waiter.caller for waiter in owner_calls)
    if not callers or callers.most_common(1)[0][1] <= callers[caller] + 1:
        return None
    return _find_newest_of_largest_caller(owner_calls, owner)


def _find_newest_of_largest_caller(waiting, owner):
    owner_calls = [waiter for waiter in waiting if waiter.owner == owner]
    callers = collections.Counter(waiter.caller for waiter in owner_calls)
    largest = callers.most_common(1)[0][0]
    return [waiter for waiter in owner_calls if waiter.caller == largest][-1]
