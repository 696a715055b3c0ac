"""Typical execution times of a target by rule, as the node beside it measures them."""

import math

import attrs

# Weight of a new time in the published mean of logarithms. Times have a log-normal
# spread of about 0.5, so the mean has a standard deviation of 0.05.
SLOW_WEIGHT = 0.02
# Weight in the short-term mean, which shows a change within a few calls.
FAST_WEIGHT = 0.2
# Weight in the long-term mean, to which a time returns if it is not measured any more.
LONG_WEIGHT = 0.005
# Time in milliseconds without a call of a rule after which its time is out of date. A
# target that recovers unseen would otherwise stay without calls.
STALE_MS = 4000.0
# Calls that the means count as having seen after a change, so that they follow quickly.
CALLS_AFTER_SHIFT = 3
# Weight in the short-term mean while a target is slower than in the long term: it then
# gets few calls, and they should show its recovery.
ILL_WEIGHT = 0.4
# A time counts as at most this far from the short-term mean, in logarithms, as one call
# in a hundred takes three to five times as long as the others.
MAX_DEVIATION = 1.2
# Difference of the two means, in logarithms, that shows a change of the target; about
# five standard deviations of the short-term mean.
SHIFT = 0.9
# Calls of a rule after which its time is published.
MIN_CALLS = 8
# Rules whose times are published; records are sent to all nodes.
MAX_RULES = 3
# A rule replaces a published one if it has this many times its calls.
REPLACE_RATIO = 2.0
# Time constant in milliseconds of the counts of calls by rule.
COUNT_DECAY_MS = 5000.0
# Logarithmic step of published times: a fourth of a doubling.
STEP = math.log(2) / 4
# A published time changes once the mean is this far from it, in logarithms: after
# rounding at least four standard deviations of the mean, so that the times of a steady
# target stay.
HYSTERESIS = 1.75 * STEP
# Change, in logarithms, that is published without waiting for the longer gap.
LARGE_CHANGE = 2 * STEP
# Shortest time in milliseconds between two changes of the record, for large and for
# small changes; a change costs each other node processor time.
MIN_GAP_MS = 1000.0
SMALL_CHANGE_GAP_MS = 4000.0
# Calls in flight for this many times the typical time are overdue. If most calls of a
# rule are, the target has become slower, though none of them has ended yet.
OVERDUE_RATIO = 2.5
MIN_OVERDUE = 3


@attrs.define
class _RuleTimes:
    slow: float
    fast: float
    long: float
    calls: float = 0.0
    samples: int = 0
    # Calls since the last change of the target.
    settled: int = 0
    last_ms: float = 0.0
    published: float | None = None

    def add(self, value, now_ms):
        limited = max(self.fast - MAX_DEVIATION, min(self.fast + MAX_DEVIATION, value))
        least = 1 / (self.settled + 1)
        is_ill = self.slow - self.long > SHIFT
        weight = ILL_WEIGHT if is_ill else FAST_WEIGHT
        self.fast += max(weight, least) * (limited - self.fast)
        self.slow += max(SLOW_WEIGHT, least) * (limited - self.slow)
        self.long += max(LONG_WEIGHT, 1 / (self.samples + 1)) * (limited - self.long)
        self.samples += 1
        self.settled += 1
        self.calls += 1
        self.last_ms = now_ms
        if abs(self.fast - self.slow) > SHIFT:
            # A target that recovers ends at the long-term mean; the short-term one is
            # still on its way there.
            has_recovered = is_ill and self.fast < self.slow
            self.shift(min(self.fast, self.long) if has_recovered else self.fast)

    def shift(self, value):
        self.slow = self.fast = value
        self.settled = CALLS_AFTER_SHIFT


class WorkEstimator:
    """Execution times of one process of a target."""

    def __init__(self):
        self._rules = {}
        self._running = {}
        self._next_key = 0
        self._published = ()
        self._published_ms = -SMALL_CHANGE_GAP_MS
        self._decayed_ms = 0.0

    @property
    def published(self):
        """Typical times in milliseconds by name of rule, in coarse steps."""
        return self._published

    def begin(self, rule_name, now_ms):
        """Note that the target starts a call; returns a key for :meth:`end`."""
        self._next_key += 1
        self._running[self._next_key] = rule_name, now_ms
        return self._next_key

    def end(self, key):
        """Note that a call is no longer at the target."""
        self._running.pop(key, None)

    def record(self, rule_name, elapsed_ms, is_failure, now_ms):
        """Add the execution time of a call.

        Parameters
        ----------
        rule_name : str
            Name of the rule.
        elapsed_ms : float
            Execution time in milliseconds.
        is_failure : bool
            Whether the target failed the call. A failure that came early says nothing
            about the time of the work; a late one shows that the work takes longer.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        value = math.log(max(1.0, elapsed_ms))
        times = self._rules.get(rule_name)
        if times is None:
            if is_failure:
                return
            times = self._rules[rule_name] = _RuleTimes(value, value, value)
        if not is_failure or value > times.fast:
            times.add(value, now_ms)

    def refresh(self, now_ms):
        """Return the times to publish, which change seldom.

        Parameters
        ----------
        now_ms : float
            Present time on the monotonic clock in milliseconds.

        Returns
        -------
        tuple of tuple of str and int
            Times in milliseconds by name of rule, the most called rules first.
        """
        self._note_overdue(now_ms)
        decay = math.exp(min(0.0, self._decayed_ms - now_ms) / COUNT_DECAY_MS)
        self._decayed_ms = now_ms
        running = {rule_name for rule_name, _ in self._running.values()}
        for name, times in self._rules.items():
            times.calls *= decay
            is_stale = name not in running and now_ms - times.last_ms > STALE_MS
            if is_stale and abs(times.slow - times.long) > HYSTERESIS:
                times.shift(times.long)
        if now_ms - self._published_ms < MIN_GAP_MS:
            return self._published
        names = self._list_most_called()
        changes = [self._get_change(name) for name in names]
        is_small = max(changes, default=0.0) <= LARGE_CHANGE
        if is_small and now_ms - self._published_ms < SMALL_CHANGE_GAP_MS:
            return self._published
        if any(change > HYSTERESIS for change in changes):
            self._publish(names, now_ms)
        return self._published

    def _publish(self, names, now_ms):
        published = []
        for name in names:
            times = self._rules[name]
            if self._get_change(name) > HYSTERESIS:
                times.published = STEP * round(times.slow / STEP)
            published.append((name, max(1, round(math.exp(times.published)))))
        self._published = tuple(published)
        self._published_ms = now_ms

    def _get_change(self, name):
        times = self._rules[name]
        if times.published is None:
            return math.inf
        return abs(times.slow - times.published)

    def _list_most_called(self):
        def get_weight(name):
            times = self._rules[name]
            return times.calls * (REPLACE_RATIO if times.published is not None else 1)

        known = [
            name for name, item in self._rules.items() if item.samples >= MIN_CALLS
        ]
        chosen = sorted(known, key=get_weight, reverse=True)[:MAX_RULES]
        for name in known:
            if name not in chosen:
                self._rules[name].published = None
        return sorted(chosen)

    def _note_overdue(self, now_ms):
        ages = {}
        for rule_name, started_ms in self._running.values():
            ages.setdefault(rule_name, []).append(now_ms - started_ms)
        for rule_name, rule_ages in ages.items():
            times = self._rules.get(rule_name)
            if times is None:
                continue
            limit_ms = OVERDUE_RATIO * math.exp(times.slow)
            overdue = [age for age in rule_ages if age > limit_ms]
            if len(overdue) >= max(MIN_OVERDUE, len(rule_ages) / 2):
                times.shift(math.log(sum(overdue) / len(overdue)))
