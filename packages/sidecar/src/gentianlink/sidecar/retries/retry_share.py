"""Share of a node in the retry budget of each service.

In any window, the arrivals at a service beyond the first of each call, over all nodes
together, are limited to a ratio of the calls to the service plus a constant. Each node
spends the ratio of the calls that it has seen itself, and an equal part of the
constant, so the shares of all nodes add up to the budget without any exchange of
messages.

The budget limits arrivals at targets, and a repeat may be on its way for long: in a
queue, at a slow node, or at one that is frozen. It counts from the time at which it is
granted until a window after it has ended, so that it counts whenever it arrives.
"""

import collections

from gentianlink.sidecar.retries.recent_counts import RecentCounts

# Share of the ratio that a node spends. A process that restarts has forgotten the
# repeats of the former one, and the calls of its window may lie in two windows of the
# budget, so that one window may have twice the repeats of a share. What is left also
# covers the calls that targets make for repeats, which count at the services called.
RATIO_SHARE = 0.5
# Share of the constant that a node spends; the rest covers nodes that restart. Where a
# deployment allows a large constant, spending half of it sent more calls to overloaded
# targets than it saved.
EXTRA_SHARE = 0.2
# Share of the allowance that is open to first attempts of callers. The rest is reserved
# for callers that are retrying already: a caller at its first attempt can still retry,
# the others cannot.
FIRST_ATTEMPT_SHARE = 0.5


class RetryShare:
    """Counts the calls and retries of each service at this node within the window.

    Parameters
    ----------
    bounds : Bounds
        Retry budget of the deployment.
    count_nodes : callable
        Returns the number of nodes that share the constant, 0 while the other nodes are
        not known.
    started_ms : float
        Start of this process on the monotonic clock in milliseconds.
    """

    def __init__(self, bounds, count_nodes, started_ms):
        self._bounds = bounds
        self._count_nodes = count_nodes
        self._started_ms = started_ms
        self._calls = RecentCounts(bounds.retry_window_ms)
        # Repeats that have not ended, and those that have.
        self._pending = collections.Counter()
        self._ended = RecentCounts(bounds.retry_window_ms)

    @property
    def services(self):
        """Names of the services that calls have arrived for, in order."""
        return sorted(self._calls.keys)

    def record_call(self, service, now_ms):
        """Count the arrival of a call to a service.

        Parameters
        ----------
        service : str
            Name of the service.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        self._calls.record(service, now_ms)

    def try_take(self, service, is_caller_retry, now_ms):
        """Begin a repeat if this node's share has room; :meth:`end` must follow.

        Parameters
        ----------
        service : str
            Name of the service.
        is_caller_retry : bool
            Whether the call is probably a retry by its caller after a refusal.
        now_ms : float
            Present time on the monotonic clock in milliseconds.

        Returns
        -------
        bool
            Whether the repeat may be made.
        """
        allowance = self.compute_allowance(service, now_ms)
        if not is_caller_retry:
            allowance *= FIRST_ATTEMPT_SHARE
        if self.count_repeats(service, now_ms) + 1 > allowance:
            return False
        self._pending[service] += 1
        return True

    def end(self, service, has_arrived, now_ms):
        """Record the end of a repeat.

        Parameters
        ----------
        service : str
            Name of the service.
        has_arrived : bool
            Whether a target has received it, or may have.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        self._pending[service] -= 1
        if has_arrived:
            self._ended.record(service, now_ms)

    def count_repeats(self, service, now_ms):
        """Return the number of repeats that count against this node's share.

        Parameters
        ----------
        service : str
            Name of the service.
        now_ms : float
            Present time on the monotonic clock in milliseconds.

        Returns
        -------
        int
            Repeats that have not ended, or have within the window.
        """
        return self._pending[service] + self._ended.count(service, now_ms)

    def compute_allowance(self, service, now_ms):
        """Return the number of repeats that may count against this node's share.

        Parameters
        ----------
        service : str
            Name of the service.
        now_ms : float
            Present time on the monotonic clock in milliseconds.

        Returns
        -------
        float
            Repeats of callers that retry; others may use `FIRST_ATTEMPT_SHARE` of it.
        """
        bounds = self._bounds
        calls = self._calls.count(service, now_ms)
        nodes = self._count_nodes()
        # The part of the constant grows from 0 over one window from the start.
        age_share = min(1.0, (now_ms - self._started_ms) / bounds.retry_window_ms)
        extra = bounds.retry_extra / nodes * age_share if nodes else 0.0
        return RATIO_SHARE * bounds.retry_ratio * calls + EXTRA_SHARE * extra
