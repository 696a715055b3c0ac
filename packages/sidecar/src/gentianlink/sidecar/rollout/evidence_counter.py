"""Counts of the calls at the target beside this node, as evidence on its version."""

import math

import attrs

# Calls in flight count as evidence on times from this age in milliseconds on.
MIN_AGE_MS = 100.0
MIN_TIME_MS = 1.0


@attrs.define
class RuleCounts:
    """Counts of the calls of one rule at one target, all cumulative.

    Attributes
    ----------
    answers : int
        Answers, good and bad.
    failures : int
        Answers that are failures, and calls without an answer by the target's fault.
    times : int
        Calls whose time at the target counts.
    log_sum : float
        Sum of the logarithms of these times in milliseconds.
    log_squares : float
        Sum of the squares of these logarithms.
    """

    answers: int = 0
    failures: int = 0
    times: int = 0
    log_sum: float = 0.0
    log_squares: float = 0.0

    def add(self, other, sign=1):
        """Add counts, or subtract them with the sign -1."""
        self.answers += sign * other.answers
        self.failures += sign * other.failures
        self.times += sign * other.times
        self.log_sum += sign * other.log_sum
        self.log_squares += sign * other.log_squares


class EvidenceCounter:
    """Counts answers, failures and times by rule at the target beside this node."""

    def __init__(self):
        self._counts = {}
        self._running = {}
        self._next_token = 0

    def begin(self, rule_name, now_ms):
        """Count a call that is sent to the target.

        Parameters
        ----------
        rule_name : str
            Rule of the call.
        now_ms : float
            Present time on the monotonic clock in milliseconds.

        Returns
        -------
        int
            Token for :meth:`end`.
        """
        self._next_token += 1
        self._running[self._next_token] = rule_name, now_ms
        return self._next_token

    def end(self, token, is_failure, is_cold, now_ms):
        """Record the end of a call.

        Parameters
        ----------
        token : int
            Result of :meth:`begin`.
        is_failure : bool or None
            Whether the target failed the call; None if this is unknown, for example
            because the caller is gone. Its time then counts if it was long: the target
            would have needed longer.
        is_cold : bool
            Whether the target was just started; its times then don't count.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        rule_name, started_ms = self._running.pop(token)
        counts = self._counts.setdefault(rule_name, RuleCounts())
        if is_failure is not None:
            counts.answers += 1
            counts.failures += is_failure
        elapsed_ms = now_ms - started_ms
        is_timed = is_failure is False or (
            is_failure is None and elapsed_ms >= MIN_AGE_MS
        )
        if is_timed and not is_cold:
            value = math.log(max(MIN_TIME_MS, elapsed_ms))
            counts.times += 1
            counts.log_sum += value
            counts.log_squares += value * value

    def make_report(self, is_cold, now_ms):
        """Return the counts by rule with the calls in flight.

        Parameters
        ----------
        is_cold : bool
            Whether the target was just started.
        now_ms : float
            Present time on the monotonic clock in milliseconds.

        Returns
        -------
        list of list
            For each rule its name, the fields of RuleCounts, the number of calls in
            flight that count as evidence on times, and the sums of the logarithms of
            their ages and of the squares of these.
        """
        pending = {}
        for rule_name, started_ms in self._running.values():
            age_ms = now_ms - started_ms
            if age_ms >= MIN_AGE_MS and not is_cold:
                value = math.log(age_ms)
                item = pending.setdefault(rule_name, [0, 0.0, 0.0])
                item[0] += 1
                item[1] += value
                item[2] += value * value
        report = []
        for rule_name in self._counts.keys() | pending.keys():
            counts = attrs.astuple(self._counts.get(rule_name, RuleCounts()))
            values = [*counts, *pending.get(rule_name, (0, 0.0, 0.0))]
            report.append([rule_name, *(round(value, 3) for value in values)])
        return report
