"""Sliding window of the tokens of one tenant, kept by its owner.

A token counts from its lease until one window after the latest time at which it may be
spent. So the tokens that are spent in any window are at most those that count at one
moment.
"""

import math

import attrs

MS_PER_S = 1000
# Resolution of the times at which tokens stop counting. 50 ms lengthen a window of 5 s
# by at most 1% and bound the memory of a window to some 110 numbers.
BUCKET_MS = 50
# Steps in which the future of a window is described to another node.
PROFILE_STEPS = 10
# Tokens that were leased this short before the share fell count in full: the other side
# may not know of them, as the partition began earlier than it was noticed.
UNNOTICED_MS = 2000.0
# Time constants of the pace after a refusal: without it the tokens of a tenant that
# sends too much would be leased in a burst once a window.
PACE_DEPTH_MS = 200.0
# Calls that are refused are told different times, so that they do not all come back for
# the same token; at most this much later than the first of these times.
MAX_SPREAD_MS = 250.0


@attrs.define
class _Generation:
    """Tokens leased while this side of a partition had the same share of the limit."""

    share: float
    total: float = 0.0
    buckets: dict[int, float] = attrs.Factory(dict)


@attrs.frozen
class Profile:
    """Future of a window as another node describes it, without new leases.

    Attributes
    ----------
    issuer : str
        Node that leased the tokens.
    issued_ms : float
        Time of the description on this node's monotonic clock in milliseconds.
    share : float
        Share of the limit that the issuer leased.
    counts : tuple of float
        Tokens that count after 0, 1, ... of `PROFILE_STEPS` steps.
    step_ms : float
        Length of a step in milliseconds.
    """

    issuer: str
    issued_ms: float
    share: float
    counts: tuple[float, ...]
    step_ms: float

    def compute_count(self, now_ms, share):
        """Return how many tokens still count.

        Parameters
        ----------
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        share : float
            Share of the limit that counts here; a smaller one than the issuer's makes
            the older tokens count as much less, as the other side counts the rest.
        """
        step = max(0, int((now_ms - self.issued_ms) / self.step_ms))
        if step >= len(self.counts):
            return 0.0
        return self.counts[step] * min(1.0, share / self.share)

    def estimate_tail(self, now_ms):
        """Return how many tokens the issuer may have leased since, at its top rate."""
        steps = zip(self.counts, (*self.counts[1:], 0.0), strict=True)
        highest = max(a - b for a, b in steps) / self.step_ms
        return highest * max(0.0, now_ms - self.issued_ms)


class OwnerWindow:
    """Counts the tokens of one tenant that may be spent within a window.

    Parameters
    ----------
    window_ms : float
        Window of the limit in milliseconds.
    """

    def __init__(self, window_ms):
        self._window_ms = window_ms
        self._generations = []
        self._share = 1.0
        self._adopted = {}
        # Tokens that a lost issuer may have leased after its description.
        self._tails = {}
        self._assumed = None
        self._hold_until_ms = 0.0
        self._swept = 0
        self._blocked_until_ms = 0.0
        self._blocked_capacity = 0.0
        self._paced_until_ms = 0.0
        self._pace_tokens = 0.0
        self._pace_ms = 0.0
        self._promised_ms = 0.0
        # Tokens of the burst, as in a token bucket; None before the first lease.
        self._burst_tokens = None
        self._burst_ms = 0.0

    @property
    def is_assumed(self):
        """Whether the window was assumed to be full, as nothing was known of it."""
        return self._assumed is not None

    def assume(self, count, length_ms, now_ms):
        """Begin with tokens that are assumed to be spread evenly over the past.

        Parameters
        ----------
        count : float
            Number of tokens.
        length_ms : float
            Time in milliseconds after which none of them counts.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        self._assumed = count, now_ms, length_ms

    def adopt(self, profile, lost_ms, limit):
        """Count the tokens that another owner has leased.

        Parameters
        ----------
        profile : Profile
            The other owner's window.
        lost_ms : float or None
            Time at which the issuer was replaced without a message, in milliseconds. It
            may have leased tokens until then, which are estimated.
        limit : TenantLimit
            Limit of the tenant.
        """
        known = self._adopted.get(profile.issuer)
        if known is not None and known.issued_ms >= profile.issued_ms:
            return
        self._adopted[profile.issuer] = profile
        if self._assumed is not None:
            self._assumed = None
            self._blocked_until_ms = 0.0
        self._tails.pop(profile.issuer, None)
        if lost_ms is not None:
            count = profile.compute_count(lost_ms, profile.share)
            free = max(0.0, limit.capacity * profile.share - count)
            tail = min(free, profile.estimate_tail(lost_ms))
            self._tails[profile.issuer] = tail, lost_ms + self._window_ms

    def hold_until(self, until_ms):
        """Lease nothing until a given time."""
        self._hold_until_ms = until_ms

    def note_share(self, share, now_ms):
        """Count tokens that were leased since a partition may have begun in full.

        Parameters
        ----------
        share : float
            Share of the limit that may be leased here.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        if share < self._share:
            oldest = (now_ms - UNNOTICED_MS + self._window_ms) / BUCKET_MS
            recent = _Generation(share)
            for generation in self._generations:
                for key in [k for k in generation.buckets if k >= oldest]:
                    count = generation.buckets.pop(key)
                    generation.total -= count
                    recent.total += count
                    recent.buckets[key] = recent.buckets.get(key, 0.0) + count
            self._generations.append(recent)
        self._share = share

    def charge(self, count, until_ms, share):
        """Count tokens until a given time.

        Parameters
        ----------
        count : float
            Number of tokens.
        until_ms : float
            End of the time in which they count, in milliseconds.
        share : float
            Share of the limit of which they were leased.
        """
        if not self._generations or self._generations[-1].share != share:
            self._generations.append(_Generation(share))
        generation = self._generations[-1]
        key = math.ceil(until_ms / BUCKET_MS)
        generation.buckets[key] = generation.buckets.get(key, 0.0) + count
        generation.total += count

    def move(self, count, from_ms, to_ms):
        """Let tokens that were spent early count less long, or no more.

        Parameters
        ----------
        count : float
            Number of tokens.
        from_ms : float
            End of the time in which they count now.
        to_ms : float or None
            Earlier end; None if they were not spent.
        """
        key = math.ceil(from_ms / BUCKET_MS)
        for generation in reversed(self._generations):
            found = min(count, generation.buckets.get(key, 0.0))
            if not found:
                continue
            generation.buckets[key] -= found
            generation.total -= found
            if to_ms is not None:
                new = math.ceil(to_ms / BUCKET_MS)
                generation.buckets[new] = generation.buckets.get(new, 0.0) + found
                generation.total += found
            count -= found
        self._blocked_until_ms = 0.0

    def give_back(self, count, now_ms):
        """Let tokens of calls that were not run count no more, oldest first.

        It is not known in which lease they were; the oldest tokens are the safe choice,
        as they would soon stop counting anyway.
        """
        self._sweep(now_ms)
        for generation in self._generations:
            for key in sorted(generation.buckets):
                found = min(count, generation.buckets[key])
                generation.buckets[key] -= found
                generation.total -= found
                count -= found
                if count <= 0:
                    break
        self._blocked_until_ms = 0.0

    def compute_count(self, now_ms, share):
        """Return how many tokens count for this side of a partition.

        Parameters
        ----------
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        share : float
            Share of the limit that may be leased here.
        """
        self._sweep(now_ms)
        own = sum(g.total * min(1.0, share / g.share) for g in self._generations)
        return own + self._compute_others(now_ms, share)

    def _compute_others(self, now_ms, share):
        if self._assumed is not None:
            count, began_ms, length_ms = self._assumed
            left = max(0.0, 1 - (now_ms - began_ms) / length_ms)
            return count * share * left
        return self._compute_adopted(self._adopted.values(), now_ms, share)

    def _compute_adopted(self, profiles, now_ms, share):
        # Descriptions by several nodes are of the same past.
        highest = 0.0
        for profile in profiles:
            count = profile.compute_count(now_ms, share)
            tail, until_ms = self._tails.get(profile.issuer, (0.0, 0.0))
            if now_ms < until_ms:
                count += tail * min(1.0, share / profile.share)
            highest = max(highest, count)
        return highest

    def _sweep(self, now_ms):
        key = int(now_ms / BUCKET_MS)
        if key == self._swept:
            return
        self._swept = key
        for generation in self._generations:
            for ended in [k for k in generation.buckets if k <= key]:
                generation.total -= generation.buckets.pop(ended)
        self._generations = [g for g in self._generations if g.buckets]

    def is_idle(self, now_ms):
        """Return whether nothing of the past matters any more."""
        is_empty = self.compute_count(now_ms, 1.0) <= 0 and not self._generations
        return is_empty and now_ms >= max(self._paced_until_ms, self._hold_until_ms)

    def take(self, need, ahead, limit, share, now_ms):
        """Decide how many tokens may be leased now.

        Parameters
        ----------
        need : int
            Tokens for calls that wait.
        ahead : int
            Tokens for calls that are expected; they get at most a part of what is free.
        limit : TenantLimit
            Limit of the tenant.
        share : float
            Share of the limit that may be leased here.
        now_ms : float
            Present time on the monotonic clock in milliseconds.

        Returns
        -------
        count : int
            Tokens to lease; :meth:`charge` is left to the caller.
        retry_ms : float
            Time in milliseconds until further tokens; 0 if all calls got theirs.
        """
        capacity = limit.capacity * share
        if capacity > self._blocked_capacity:
            self._blocked_until_ms = 0.0
        blocked_ms = max(self._blocked_until_ms, self._hold_until_ms) - now_ms
        if blocked_ms > 0:
            return 0, self._promise(need, blocked_ms, capacity, now_ms)
        free = capacity - self.compute_count(now_ms, share)
        pace = capacity / self._window_ms
        is_paced = now_ms < self._paced_until_ms
        burst = self._refill_burst(limit, share, now_ms)
        if not is_paced:
            # Without this a tenant that sends too much would use a whole window at
            # once, and then be refused what its rate allows for the rest of the window.
            free = min(free, burst)
        else:
            passed_ms = now_ms - self._pace_ms
            depth = max(1.0, pace * PACE_DEPTH_MS)
            self._pace_tokens = min(depth, self._pace_tokens + pace * passed_ms)
            self._pace_ms = now_ms
            free = min(free, self._pace_tokens)
            ahead = 0
        # Expected calls of one node must not take what calls of others wait for.
        count = min(need + ahead, max(min(need, free), free / 8))
        count = max(0, math.floor(count + 1e-6))
        self._burst_tokens = max(0.0, burst - count)
        if is_paced:
            self._pace_tokens -= count
        if count >= need:
            return count, 0.0
        return count, self._begin_pace(count, capacity, share, pace, now_ms)

    def _refill_burst(self, limit, share, now_ms):
        """Return how many tokens the rate and the burst allow now."""
        depth = limit.burst_depth * share
        tokens = depth
        if self._burst_tokens is None:
            # The former owner may have leased the burst just before.
            if self._assumed is not None or self._adopted:
                tokens = limit.careful_allowance * share
        else:
            earned = limit.rate_per_s * share * (now_ms - self._burst_ms) / MS_PER_S
            tokens = min(depth, self._burst_tokens + earned)
        self._burst_ms = now_ms
        return tokens

    def _begin_pace(self, count, capacity, share, pace, now_ms):
        """Return the time until the next token, and lease evenly from now on."""
        if now_ms >= self._paced_until_ms:
            self._pace_tokens, self._pace_ms = 0.0, now_ms
        self._paced_until_ms = now_ms + self._window_ms
        if pace <= 0:
            return self._window_ms
        pace_ms = max(0.0, 1 - self._pace_tokens) / pace
        wait_ms = max(
            pace_ms, self._compute_wait_ms(capacity - 1 - count, share, now_ms)
        )
        self._blocked_until_ms = now_ms + wait_ms
        self._blocked_capacity = capacity
        return self._promise(1, wait_ms, capacity, now_ms)

    def _promise(self, need, wait_ms, capacity, now_ms):
        """Return when a call should come back that others have not been told of."""
        first_ms = now_ms + wait_ms
        gap_ms = need * self._window_ms / capacity if capacity > 0 else 0.0
        last_ms = first_ms + MAX_SPREAD_MS
        self._promised_ms = min(max(first_ms, self._promised_ms + gap_ms), last_ms)
        return self._promised_ms - now_ms

    def _compute_wait_ms(self, most, share, now_ms):
        """Return the time until at most a given number of tokens count."""
        if self.compute_count(now_ms, share) <= most:
            return 0.0
        ends = {}
        for generation in self._generations:
            factor = min(1.0, share / generation.share)
            for key, count in generation.buckets.items():
                ends[key] = ends.get(key, 0.0) + count * factor
        own = sum(ends.values())
        horizon = int((now_ms + 2 * self._window_ms) / BUCKET_MS)
        for key in range(int(now_ms / BUCKET_MS) + 1, horizon):
            own -= ends.get(key, 0.0)
            if own + self._compute_others(key * BUCKET_MS, share) <= most:
                return key * BUCKET_MS - now_ms
        return 2 * self._window_ms

    def make_profile(self, issuer, length_ms, share, now_ms, reader="", since_ms=0.0):
        """Describe the window for another node.

        Parameters
        ----------
        issuer : str
            Name of this node.
        length_ms : float
            Longest time in milliseconds for which a token counts.
        share : float
            Share of the limit that may be leased here.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        reader : str, optional
            Node that gets the description; what it has leased itself is left out.
        since_ms : float, optional
            Start of the reader's process in milliseconds, as far as known. It has
            forgotten what an earlier process leased.

        Returns
        -------
        Profile
            The description.
        """
        self._sweep(now_ms)
        step_ms = length_ms / PROFILE_STEPS
        # All tokens in full: a reader on this side of a partition may be the only owner
        # when it ends.
        counts = [0.0] * PROFILE_STEPS
        for generation in self._generations:
            for key, count in generation.buckets.items():
                last = min(PROFILE_STEPS - 1, int((key * BUCKET_MS - now_ms) / step_ms))
                for step in range(last + 1):
                    counts[step] += count
        others = [
            profile
            for profile in self._adopted.values()
            if profile.issuer != reader or profile.issued_ms < since_ms
        ]
        for step in range(PROFILE_STEPS):
            at_ms = now_ms + step * step_ms
            if self._assumed is not None:
                counts[step] += self._compute_others(at_ms, 1.0)
            else:
                counts[step] += self._compute_adopted(others, at_ms, 1.0)
        rounded = tuple(float(math.ceil(count - 1e-6)) for count in counts)
        return Profile(issuer, now_ms, share, rounded, step_ms)
