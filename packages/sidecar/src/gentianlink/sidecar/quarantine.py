"""Find the requests that crash the targets that execute them (queries of death).

Each crash is known by the fingerprints of the calls in flight. Most of them were only
in flight when another one crashed the target, so a request is quarantined only if it
was in flight at several crashes that no other request explains as well:

- a crash at which an already quarantined request was in flight is explained by it;
- of two requests that were in flight at the same crashes none is quarantined, until
  they have been together so often that this is no coincidence;
- a crash says nothing against a request that a target of the service completes later.
  Such a completion also ends a quarantine.

The decision depends only on the reports, so nodes that know the same reports agree.
"""

import attrs

from gentianlink.sidecar.call_fingerprint import get_caller, get_content

# Crashes after which a request is quarantined.
MIN_CRASHES = 3
# The same for requests that were always in flight together.
MIN_COMMON_CRASHES = 5
# Crashes after which a request is a suspect: it is executed apart from other suspects
# and not repeated at another target.
SUSPECT_CRASHES = 2
# Oldest first, more reports and requests than these are dropped.
MAX_REPORTS = 1024
MAX_QUARANTINED = 256
# A report is evidence for this time.
REPORT_LIFETIME_MS = 3_600_000.0


@attrs.frozen
class QuarantinedRequest:
    """A request that is no longer sent to targets.

    Attributes
    ----------
    content : str
        Fingerprint of its content.
    callers : tuple of str
        Fingerprints of the callers whose calls are refused; empty for all callers.
    crashes : tuple of tuple
        Name and start of each process that it has crashed.
    """

    content: str
    callers: tuple[str, ...]
    crashes: tuple[tuple[str, int], ...]


@attrs.define
class _Crash:
    fingerprints: frozenset
    learned_ms: float
    # Node that has reported it.
    node_id: str


class Quarantine:
    """Known crashes, and the requests that are quarantined because of them.

    Parameters
    ----------
    on_disproved : callable, optional
        Called with each QuarantinedRequest that passes again, because a target has
        completed it.
    """

    def __init__(self, on_disproved=lambda request: None):
        self._on_disproved = on_disproved
        # In the order in which they became known.
        self._crashes = {}
        self._crashes_by_content = {}
        self._requests = {}

    @property
    def is_empty(self):
        """Whether no request is quarantined or suspected, as is usual."""
        return not self._crashes and not self._requests

    @property
    def requests(self):
        """The quarantined requests."""
        return list(self._requests.values())

    def count_suspects(self):
        """Return the number of suspected requests."""
        return sum(
            len(crashes) >= SUSPECT_CRASHES and self._is_suspected_content(content)
            for content, crashes in self._crashes_by_content.items()
        )

    def is_quarantined(self, fingerprint):
        """Return whether the call with a fingerprint must not be sent to a target."""
        request = self._requests.get(get_content(fingerprint))
        if request is None:
            return False
        return not request.callers or get_caller(fingerprint) in request.callers

    def is_suspect(self, fingerprint):
        """Return whether a call may be what crashed several targets."""
        return self._is_suspected_content(get_content(fingerprint))

    def _is_suspected_content(self, content):
        if content in self._requests:
            return False
        return len(self._find_unexplained(content)) >= SUSPECT_CRASHES

    def learn(self, report, now_ms, node_id=""):
        """Take a report into account, or a newer edition of it with fewer calls.

        Parameters
        ----------
        report : CrashReport
            The report.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        node_id : str, optional
            Node that has reported the crash.

        Returns
        -------
        list of QuarantinedRequest
            Requests that are quarantined now, or for more callers than before.
        """
        known = self._crashes.get(report.crash_id)
        fingerprints = frozenset(report.fingerprints)
        if known is not None:
            # The missing ones were completed by a target since then.
            fingerprints &= known.fingerprints
            if fingerprints == known.fingerprints:
                return []
            for fingerprint in known.fingerprints - fingerprints:
                self.note_completed(fingerprint, [report.crash_id])
            return self._judge_all(fingerprints)
        self._crashes[report.crash_id] = _Crash(fingerprints, now_ms, node_id)
        for fingerprint in fingerprints:
            content = get_content(fingerprint)
            self._crashes_by_content.setdefault(content, set()).add(report.crash_id)
        self.drop_old(now_ms)
        return self._judge_all(fingerprints)

    def find_reporters(self, fingerprint):
        """Return who has reported the crashes that are evidence against a request.

        Parameters
        ----------
        fingerprint : str
            Fingerprint of the request.

        Returns
        -------
        dict of str to list
            Ids of the crashes by the name of the node.
        """
        reporters = {}
        for crash_id in self._get_crashes(get_content(fingerprint)):
            crash = self._crashes[crash_id]
            if fingerprint in crash.fingerprints:
                reporters.setdefault(crash.node_id, []).append(crash_id)
        return reporters

    def note_completed(self, fingerprint, crash_ids):
        """Drop the evidence against a request that a target has completed.

        Parameters
        ----------
        fingerprint : str
            Fingerprint of the request.
        crash_ids : iterable of tuple
            Crashes that were before the completion.
        """
        content = get_content(fingerprint)
        for crash_id in crash_ids:
            crash = self._crashes.get(crash_id)
            if crash is None or fingerprint not in crash.fingerprints:
                continue
            crash.fingerprints -= {fingerprint}
            if not any(get_content(item) == content for item in crash.fingerprints):
                self._remove_crash_of(content, crash_id)
            request = self._requests.pop(content, None)
            if request is not None:
                self._on_disproved(request)

    def _remove_crash_of(self, content, crash_id):
        crashes = self._get_crashes(content)
        crashes.discard(crash_id)
        if not crashes:
            self._crashes_by_content.pop(content, None)

    def _judge_all(self, fingerprints):
        """Return the requests that are quarantined now, or for more callers."""
        contents = sorted({get_content(item) for item in fingerprints})
        # All are judged before any is quarantined, which would explain the crashes of
        # the others.
        judged = [self._judge(content) for content in contents]
        changes = [request for request in judged if request is not None]
        for request in changes:
            self.add(request)
        return changes

    def _judge(self, content):
        """Return the request to quarantine if the evidence suffices for a change."""
        known = self._requests.get(content)
        if known is None:
            crashes = self._find_unexplained(content)
            if len(crashes) < MIN_CRASHES:
                return None
            is_ambiguous = len(crashes) < MIN_COMMON_CRASHES
            if is_ambiguous and self._find_companions(content, crashes):
                return None
        else:
            crashes = known.crashes
            crashes += tuple(self._get_crashes(content) - set(crashes))
        request = QuarantinedRequest(
            content, self._find_callers(content, known), tuple(sorted(crashes))
        )
        if known is not None and known.callers == request.callers:
            return None
        return request

    def _get_crashes(self, content):
        return self._crashes_by_content.get(content, set())

    def _find_unexplained(self, content):
        """Return the crashes of a request that no quarantined one explains."""
        return [
            crash_id
            for crash_id in self._get_crashes(content)
            if not any(
                other in self._requests
                for other in self._list_contents(crash_id)
                if other != content
            )
        ]

    def _find_companions(self, content, crashes):
        """Return the other requests that were in flight at all of some crashes."""
        common = set.intersection(*(self._list_contents(item) for item in crashes))
        return common - {content}

    def _list_contents(self, crash_id):
        return {get_content(item) for item in self._crashes[crash_id].fingerprints}

    def _find_callers(self, content, known):
        """Return the callers of a request; none means all: it came from several."""
        if known is not None and not known.callers:
            return ()
        callers = set() if known is None else set(known.callers)
        for crash_id in self._get_crashes(content):
            for fingerprint in self._crashes[crash_id].fingerprints:
                if get_content(fingerprint) == content:
                    callers.add(get_caller(fingerprint))
        return () if len(callers) > 1 else tuple(callers)

    def add(self, request):
        """Quarantine a request, also one that another process has found.

        Parameters
        ----------
        request : QuarantinedRequest
            The request.
        """
        known = self._requests.get(request.content)
        if known is None or known.callers:
            self._requests[request.content] = request
        while len(self._requests) > MAX_QUARANTINED:
            del self._requests[next(iter(self._requests))]

    def lift(self, content):
        """Let the calls with a content pass again; its known crashes count no more.

        Parameters
        ----------
        content : str
            Fingerprint of the content.
        """
        self._requests.pop(content, None)
        for crash_id in self._crashes_by_content.pop(content, ()):
            crash = self._crashes[crash_id]
            crash.fingerprints = frozenset(
                item for item in crash.fingerprints if get_content(item) != content
            )

    def drop_old(self, now_ms):
        """Drop the reports that are no evidence any more.

        Parameters
        ----------
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        for crash_id, crash in list(self._crashes.items()):
            is_old = now_ms - crash.learned_ms >= REPORT_LIFETIME_MS
            if not is_old and len(self._crashes) <= MAX_REPORTS:
                return
            self._forget_crash(crash_id)

    def _forget_crash(self, crash_id):
        crash = self._crashes.pop(crash_id)
        for fingerprint in crash.fingerprints:
            self._remove_crash_of(get_content(fingerprint), crash_id)
