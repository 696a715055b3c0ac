"""How far a call has come: where it was refused, and whether it may go on."""

import attrs

from gentianlink.core.outcome import Outcome
from gentianlink.core.reason import Reason
from gentianlink.node.proxy.refusal import Refusal, combine_refusals
from gentianlink.sidecar.choose import MAX_FULL, Choice, choose_free, choose_target

NO_TARGET_RETRY_MS = 300
# Nodes that one call may ask for a slot; each answers within a few milliseconds.
MAX_TRIES = 6
# A call that may not wait at so many targets tries another only if the wait there
# looks shorter by this factor; the way there has a price.
MAX_WAIT_REFUSALS = 2
SHORTER_WAIT = 0.7

REASONS_OF_ARRIVED = (Reason.TARGET_SHED,)


class CallProgress:
    """What became of a call so far."""

    def __init__(self):
        self._refusal = Refusal(Reason.NO_TARGET, retry_after_ms=NO_TARGET_RETRY_MS)
        self._tried = set()
        self._full = set()
        self._sent = 0
        self._tries = 0
        self._refused_wait_ms = 0.0
        self._wait_refusals = 0
        self._retry_after_ms = []

    @property
    def refusal(self):
        """Refusal that says most of the call's outcome."""
        return self._refusal

    @property
    def sent(self):
        """Number of targets that the call was sent to, or may have been."""
        return self._sent

    def choose(self, list_candidates):
        """Return where the call should go next.

        Parameters
        ----------
        list_candidates : callable
            Takes whether only targets near this node are asked for, and returns the
            targets of the service that take calls. Most calls end at a near one, and
            looking at all targets of a large service takes a tenth of a call's time.

        Returns
        -------
        Choice or None
            None if no target is left that could serve it sooner.
        """
        if len(self._full) < MAX_FULL:
            near = choose_free(self._list_left(list_candidates(True)), self._full)
            if near is not None:
                return Choice(near, False)
        choice = choose_target(self._list_left(list_candidates(False)), self._full)
        if choice is None or self._is_futile(choice):
            return None
        return choice

    def _list_left(self, candidates):
        return [item for item in candidates if item.target_id not in self._tried]

    def _is_futile(self, choice):
        """Return whether a call was refused where it would have waited no longer."""
        if self._wait_refusals < MAX_WAIT_REFUSALS:
            return False
        return choice.candidate.wait_ms > SHORTER_WAIT * self._refused_wait_ms

    def note_refusal(self, choice, refusal, wait_ms):
        """Take in that a target did not answer the call.

        Parameters
        ----------
        choice : Choice
            The target.
        refusal : Refusal
            Why there is no answer.
        wait_ms : float
            Wait at the target in milliseconds as its node tells it now.
        """
        self._tries += 1
        is_overloaded = refusal.reason is Reason.OVERLOADED
        is_full = is_overloaded and not choice.may_wait
        (self._full if is_full else self._tried).add(choice.candidate.target_id)
        is_unknown = refusal.outcome is not Outcome.NOT_RUN
        if is_unknown or refusal.reason in REASONS_OF_ARRIVED:
            self._sent += 1
        if choice.may_wait and is_overloaded:
            self._refused_wait_ms = wait_ms
            self._wait_refusals += 1
        if refusal.retry_after_ms:
            self._retry_after_ms.append(refusal.retry_after_ms)
        self._refusal = combine_refusals(self._refusal, refusal)

    def note_failed(self, choice):
        """Take in that a target executed the call and failed it.

        Parameters
        ----------
        choice : Choice
            The target.
        """
        self._tries += 1
        self._sent += 1
        self._tried.add(choice.candidate.target_id)

    def may_go_on(self, refusal, is_repeatable):
        """Return whether the call may go to another target after a refusal.

        Parameters
        ----------
        refusal : Refusal
            The last refusal.
        is_repeatable : bool
            Whether a second execution does no harm.

        Returns
        -------
        bool
            Whether the refusal and the number of tries allow it.
        """
        if self._tries >= MAX_TRIES or refusal.reason is Reason.DEADLINE_PASSED:
            return False
        return refusal.outcome is Outcome.NOT_RUN or is_repeatable

    def sum_up(self):
        """Return the refusal for the caller, with the earliest time of room."""
        if self._refusal.outcome is Outcome.NOT_RUN and self._retry_after_ms:
            earliest_ms = min(self._retry_after_ms)
            return attrs.evolve(self._refusal, retry_after_ms=earliest_ms)
        return self._refusal
