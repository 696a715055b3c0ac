"""Attempts of a routed call: targets tried, refusals received, next target."""

import attrs

from gentianlink.core.outcome import Outcome
from gentianlink.core.reason import Reason
from gentianlink.node.proxy.refusal import Refusal, combine_refusals
from gentianlink.sidecar.routing.choose import (
    MAX_FULL,
    Choice,
    choose_free,
    choose_target,
)
from gentianlink.sidecar.routing.timed_choice import (
    FAR_FASTER,
    FAR_FREE,
    FAR_ONLY,
    WAIT,
    choose_away,
    choose_near,
    choose_wait,
)

NO_TARGET_RETRY_MS = 300
# Limit of the attempts of one call to get a slot; each node answers within a few
# milliseconds.
MAX_ATTEMPTS = 6
# After this number of targets refused to queue the call, another target is tried only
# if its estimated wait is at most this share of the last one that was too long: each
# forward costs time and bytes.
MAX_WAIT_REFUSALS = 2
SHORTER_WAIT_RATIO = 0.7
# Attempts of one call in other data centres; a refused one costs bytes as well.
MAX_AWAY = 2

# Reasons of refusals by a target itself: the call reached it, and it did not run it.
REASONS_SHED_BY_TARGET = (Reason.TARGET_SHED, Reason.OTHER_TARGET)


# Reasons of refusals that each other target would give as well.
FINAL_REASONS = (Reason.DEADLINE_PASSED, Reason.CRASHES_TARGETS)


def has_reached_target(refusal):
    """Return whether a target has received a refused attempt, or may have."""
    is_unknown = refusal.outcome is not Outcome.NOT_RUN
    return is_unknown or refusal.reason in REASONS_SHED_BY_TARGET


class CallProgress:
    """Outcomes of the attempts of one call, from which the next target is chosen.

    Parameters
    ----------
    terms : CallTerms, optional
        Objective of the call and price of a transfer; without them targets are chosen
        by their free slots alone.
    """

    def __init__(self, terms=None):
        self._terms = terms
        self._away = 0
        self._refusal = Refusal(Reason.NO_TARGET, retry_after_ms=NO_TARGET_RETRY_MS)
        self._tried_ids = set()
        self._full_ids = set()
        self._sent = 0
        self._attempts = 0
        self._refused_wait_ms = 0.0
        self._wait_refusals = 0
        self._retry_after_ms = []

    @property
    def refusal(self):
        """The refusal that decides the outcome of the call so far."""
        return self._refusal

    @property
    def sent(self):
        """Number of targets that received the call or may have received it."""
        return self._sent

    def choose(self, list_candidates):
        """Return the next target to try, and whether the call may queue there.

        Parameters
        ----------
        list_candidates : callable
            Returns the targets of the service that accept calls; its argument limits
            them to some that look free in this node's data centre. Most calls are
            served by one of these, and scanning all targets of a large service takes a
            tenth of the time of a call.

        Returns
        -------
        Choice or None
            None if no target is left that could serve the call sooner.
        """
        if self._terms is not None:
            choice = self._choose_by_time(list_candidates)
            return None if choice is None or self._is_futile(choice) else choice
        if len(self._full_ids) < MAX_FULL:
            near = choose_free(
                self._list_untried(list_candidates(True)), self._full_ids
            )
            if near is not None:
                return Choice(near, False)
        choice = choose_target(
            self._list_untried(list_candidates(False)), self._full_ids
        )
        if choice is None or self._is_futile(choice):
            return None
        return choice

    def _choose_by_time(self, list_candidates):
        terms = self._terms
        choice = None
        loss_ms = terms.objective.whole_ms
        may_try_free = len(self._full_ids) < MAX_FULL
        if may_try_free:
            near = self._list_untried(list_candidates(True))
            choice, loss_ms = choose_near(near, self._full_ids, terms)
            if choice is not None and loss_ms <= terms.transfer_cost_ms:
                return choice
        candidates = list_candidates(False)
        if not any(item.is_near for item in candidates):
            return self._choose_anywhere(candidates)
        untried = self._list_untried(candidates)
        near = [item for item in untried if item.is_near]
        if choice is None and may_try_free:
            # The first list is only a part of these.
            choice, loss_ms = choose_near(near, self._full_ids, terms)
        why = FAR_FASTER
        if choice is None:
            why = FAR_FREE
            waiting, loss_ms = choose_wait(near, self._full_ids, terms)
            choice = None if waiting is None else Choice(waiting, True, WAIT)
        if self._away < MAX_AWAY and loss_ms > terms.transfer_cost_ms:
            far = [item for item in untried if not item.is_near]
            away = choose_away(far, self._full_ids, loss_ms, why, terms)
            if away is not None:
                return away
        return choice

    def _choose_anywhere(self, candidates):
        """Return a choice for a service without targets in this data centre."""
        choice = choose_target(self._list_untried(candidates), self._full_ids)
        return None if choice is None else attrs.evolve(choice, why=FAR_ONLY)

    def _list_untried(self, candidates):
        return [item for item in candidates if item.target_id not in self._tried_ids]

    def _is_futile(self, choice):
        """Return whether the wait is about as long as where the call was refused."""
        if self._wait_refusals < MAX_WAIT_REFUSALS:
            return False
        return choice.candidate.wait_ms > SHORTER_WAIT_RATIO * self._refused_wait_ms

    def note_refusal(self, choice, refusal, wait_ms):
        """Record that an attempt ended without an answer.

        Parameters
        ----------
        choice : Choice
            The target tried.
        refusal : Refusal
            Reason and outcome of the attempt.
        wait_ms : float
            Estimated wait at the target in milliseconds by the latest report of its
            node.
        """
        self._attempts += 1
        self._away += not choice.candidate.is_near
        is_overloaded = refusal.reason is Reason.OVERLOADED
        is_full = is_overloaded and not choice.may_wait
        (self._full_ids if is_full else self._tried_ids).add(choice.candidate.target_id)
        self._sent += has_reached_target(refusal)
        if choice.may_wait and is_overloaded:
            self._refused_wait_ms = wait_ms
            self._wait_refusals += 1
        if refusal.reason is Reason.CRASHES_TARGETS:
            self._retry_after_ms.clear()
        elif refusal.retry_after_ms:
            self._retry_after_ms.append(refusal.retry_after_ms)
        self._refusal = combine_refusals(self._refusal, refusal)

    def note_quarantined(self, refusal):
        """Record that the call must not be sent to any target.

        Parameters
        ----------
        refusal : Refusal
            Why.
        """
        self._refusal = combine_refusals(self._refusal, refusal)
        self._retry_after_ms.clear()

    def note_failure(self, choice):
        """Record that a target executed the call and answered with a failure.

        Parameters
        ----------
        choice : Choice
            The target tried.
        """
        self._attempts += 1
        self._sent += 1
        self._tried_ids.add(choice.candidate.target_id)

    def may_try_another(self, refusal, is_repeatable):
        """Return whether the call may be tried at another target after a refusal.

        Parameters
        ----------
        refusal : Refusal
            The last refusal.
        is_repeatable : bool
            Whether executing the call twice does no harm.

        Returns
        -------
        bool
            Whether the refusal and the number of attempts allow another one.
        """
        if self._attempts >= MAX_ATTEMPTS or refusal.reason in FINAL_REASONS:
            return False
        return refusal.outcome is Outcome.NOT_RUN or is_repeatable

    def make_final_refusal(self):
        """Return the refusal for the caller, with the shortest Retry-After time."""
        if self._refusal.outcome is Outcome.NOT_RUN and self._retry_after_ms:
            earliest_ms = min(self._retry_after_ms)
            return attrs.evolve(self._refusal, retry_after_ms=earliest_ms)
        return self._refusal
