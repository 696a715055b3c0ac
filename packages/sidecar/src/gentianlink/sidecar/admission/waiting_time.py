"""Admission control: how long a call may wait for a slot of a target.

The functions are stateless and read no clock, so the load models of the tests run the
same decisions as a node.
"""

# Execution times vary around their mean; a call that starts with less than this
# multiple of the mean left is likely to miss its deadline.
WORK_MARGIN = 1.3
# Queueing time allowed to a call that can no longer be answered within its target
# latency, as a share of that latency: a late answer is worth more than none.
LATE_WAIT_SHARE = 0.15
# The same share while the target also receives less urgent calls: a more urgent call is
# answered late rather than refused.
URGENT_LATE_WAIT_SHARE = 1.0
# Bounds of the Retry-After time. A call that is retried too early waits in the queue
# for longer than one that is retried later.
MIN_RETRY_AFTER_MS = 50
MAX_RETRY_AFTER_MS = 2000


def compute_wait_ms(work_ahead_ms, in_flight, slots, mean_ms):
    """Estimate how long a call that joins the queue now waits for a slot.

    Parameters
    ----------
    work_ahead_ms : float
        Sum of the mean execution times in milliseconds of the calls queued ahead.
    in_flight : int
        Number of calls that hold a slot.
    slots : int
        Number of slots.
    mean_ms : float
        Mean execution time in milliseconds of all calls of the target.

    Returns
    -------
    float
        Time in milliseconds; 0 if a slot is free.
    """
    if in_flight < slots and not work_ahead_ms:
        return 0.0
    return (work_ahead_ms + mean_ms) / max(1, slots)


def compute_allowed_wait_ms(
    latency_left_ms, remaining_ms, target_latency_ms, work_ms, is_least_urgent
):
    """Return how long a call may wait for a slot.

    Parameters
    ----------
    latency_left_ms : float
        Time in milliseconds left of the target latency; negative if exceeded.
    remaining_ms : float
        Time in milliseconds until the deadline.
    target_latency_ms : float
        Target latency of the call in milliseconds, counted from its first attempt.
    work_ms : float
        Mean execution time in milliseconds of calls of its rule.
    is_least_urgent : bool
        Whether the target receives no calls that are less urgent than this one.

    Returns
    -------
    float
        Time in milliseconds; negative if the call is likely to miss its deadline
        even without queueing.
    """
    needed_ms = WORK_MARGIN * work_ms
    in_time_ms = latency_left_ms - needed_ms
    share = LATE_WAIT_SHARE if is_least_urgent else URGENT_LATE_WAIT_SHARE
    return min(remaining_ms - needed_ms, max(in_time_ms, share * target_latency_ms))


def compute_retry_after_ms(wait_ms, allowed_ms):
    """Return after how long the caller of a refused call should retry.

    Parameters
    ----------
    wait_ms : float
        Estimated wait of the call for a slot in milliseconds.
    allowed_ms : float
        Longest wait in milliseconds that the call was allowed.

    Returns
    -------
    int
        Time in milliseconds, from :data:`MIN_RETRY_AFTER_MS` to
        :data:`MAX_RETRY_AFTER_MS`.
    """
    excess_ms = wait_ms - max(0.0, allowed_ms)
    return int(min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, excess_ms)))
