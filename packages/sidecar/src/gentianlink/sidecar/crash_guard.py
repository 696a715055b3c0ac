"""Keep requests that crash the targets that execute them away from the targets."""

from gentianlink.core.reason import Reason
from gentianlink.node.clock import get_monotonic_ms
from gentianlink.node.log import get_logger
from gentianlink.node.proxy.refusal import Refusal
from gentianlink.platform import wire
from gentianlink.sidecar.call_fingerprint import compute_fingerprint, get_content
from gentianlink.sidecar.completed_calls import CompletedCalls
from gentianlink.sidecar.crash_report import CrashReport
from gentianlink.sidecar.own_crash_reports import OwnCrashReports
from gentianlink.sidecar.quarantine import Quarantine

_LOG = get_logger("crashes")


class CrashGuard:
    """Reports the crashes of this node's target, and knows the quarantined requests.

    Parameters
    ----------
    on_reports_changed : callable
        Called without arguments when this node's record should name other reports.
    on_quarantined : callable
        Called with a QuarantinedRequest that this node's target has helped to find, so
        that it is stored.
    metrics : CallMetrics
        Counts crashes.
    """

    def __init__(self, on_reports_changed, on_quarantined, metrics):
        self._on_reports_changed = on_reports_changed
        self._on_quarantined = on_quarantined
        self._metrics = metrics
        self._notify = lambda node_id, fingerprint, crash_ids: False
        self._on_disproved = lambda request: None
        self._quarantine = Quarantine(self._note_disproved)
        self._completed = CompletedCalls()
        self._own_reports = OwnCrashReports()

    @property
    def own_reports(self):
        """Reports on the crashes of this node's target."""
        return self._own_reports.reports

    @property
    def quarantined(self):
        """Number of quarantined requests."""
        return len(self._quarantine.requests)

    @property
    def suspects(self):
        """Number of requests that may be what crashed several targets."""
        return self._quarantine.count_suspects()

    def set_notify(self, notify):
        """Set the function that tells a node that a suspected request was completed.

        Parameters
        ----------
        notify : callable
            Takes the name of the node, the fingerprint of the request and a list of
            crash ids; returns whether the completion is evidence about these crashes.
        """
        self._notify = notify

    def set_on_disproved(self, on_disproved):
        """Set the function that is called with each request that passes again."""
        self._on_disproved = on_disproved

    def is_quarantined(self, call):
        """Return whether a call must not be sent to any target."""
        if self._quarantine.is_empty:
            return False
        return self._quarantine.is_quarantined(compute_fingerprint(call))

    def check(self, call):
        """Return the refusal of a call that must not be sent to any target.

        Parameters
        ----------
        call : Call
            The call.

        Returns
        -------
        Refusal or None
            None if the call may be sent. A refusal names no time after which the call
            would be served.
        """
        if not self.is_quarantined(call):
            return None
        _LOG.info(
            "quarantined call not sent",
            id=call.headers.get(wire.REQUEST_ID, ""),
            content=get_content(compute_fingerprint(call)),
        )
        return Refusal(Reason.CRASHES_TARGETS)

    def is_suspect(self, call):
        """Return whether a call may be what crashed several targets."""
        if self._quarantine.is_empty:
            return False
        return self._quarantine.is_suspect(compute_fingerprint(call))

    def note_crash(self, info, calls):
        """Report a crash of this node's target.

        Parameters
        ----------
        info : TargetInfo
            State of the target before the crash.
        calls : list of CallSummary
            Calls in flight.
        """
        self._metrics.count("target_crashes_total", service=info.service)
        _LOG.warning(
            "target crashed",
            target=info.target_id,
            service=info.service,
            started_ms=info.started_ms,
            calls=len(calls),
        )
        # Several calls of one request may be in flight.
        fingerprints = dict.fromkeys(call.fingerprint for call in calls)
        harmless = {item for item in fingerprints if self._completed.take(item)}
        for call in calls:
            _LOG.info(
                "in flight at a crash",
                id=call.request_id,
                target=info.target_id,
                fingerprint=call.fingerprint,
                method=call.method,
                host=call.host,
                path=call.path,
                caller=call.caller,
                body_bytes=call.body_bytes,
                is_harmless=call.fingerprint in harmless,
            )
        suspected = tuple(item for item in fingerprints if item not in harmless)
        self._add_own(CrashReport(info.target_id, info.started_ms, suspected))

    def _add_own(self, report):
        now_ms = get_monotonic_ms()
        if self._own_reports.add(report, now_ms):
            self._learn(report, now_ms)
            self._on_reports_changed()

    def note_completed(self, call, is_success=True):
        """Record that this node's target has completed a call.

        Parameters
        ----------
        call : Call
            The call, which therefore has not crashed the target.
        is_success : bool, optional
            Whether the target has done the work; only that is evidence for others.
        """
        fingerprint = compute_fingerprint(call)
        self._completed.note(fingerprint)
        if self._own_reports.withdraw(lambda item: item == fingerprint):
            self._note_withdrawn(fingerprint, "own")
        if self._quarantine.is_empty or not is_success:
            return
        for node_id, crash_ids in self._quarantine.find_reporters(fingerprint).items():
            if self._notify(node_id, fingerprint, crash_ids):
                self._quarantine.note_completed(fingerprint, crash_ids)

    def note_completed_elsewhere(self, fingerprint, crash_ids):
        """Withdraw a suspicion, as another node's target has completed the request.

        Parameters
        ----------
        fingerprint : str
            Fingerprint of the request.
        crash_ids : set of tuple
            Crashes of this node's target that were before that.
        """
        if self._own_reports.withdraw(lambda item: item == fingerprint, crash_ids):
            self._note_withdrawn(fingerprint, "other")

    def _note_withdrawn(self, fingerprint, source):
        _LOG.info("suspicion withdrawn", fingerprint=fingerprint, completed_by=source)
        self._metrics.count("suspicions_withdrawn_total", completed_by=source)
        self._publish_own()

    def _note_disproved(self, request):
        _LOG.warning(
            "quarantine disproved", content=request.content, crashes=request.crashes
        )
        own_ids = {item.crash_id for item in self._own_reports.reports}
        if own_ids.intersection(request.crashes):
            self._on_disproved(request)

    def _publish_own(self):
        now_ms = get_monotonic_ms()
        for report in self._own_reports.reports:
            self._learn(report, now_ms)
        self._on_reports_changed()

    def restore(self, reports):
        """Report the crashes again that this node's former process has reported.

        Parameters
        ----------
        reports : tuple of CrashReport
            The reports, from this node's row or from a peer.
        """
        for report in reports:
            self._add_own(report)

    def learn_reports(self, record):
        """Take the reports of another node into account.

        Parameters
        ----------
        record : PeerRecord
            Record of the node.
        """
        now_ms = get_monotonic_ms()
        for report in record.crashes:
            self._learn(report, now_ms, record.node_id)

    def _learn(self, report, now_ms, node_id=""):
        own_ids = {item.crash_id for item in self._own_reports.reports}
        for request in self._quarantine.learn(report, now_ms, node_id):
            _log_quarantined(request, "crashes")
            if own_ids.intersection(request.crashes):
                self._on_quarantined(request)

    def load(self, request):
        """Quarantine a request that the table service has stored.

        Parameters
        ----------
        request : QuarantinedRequest
            The request.
        """
        self._quarantine.add(request)
        _log_quarantined(request, "table service")

    def lift(self, content):
        """Let a request pass again, because an operator has removed its row.

        Parameters
        ----------
        content : str
            Fingerprint of its content.
        """
        self._quarantine.lift(content)
        _LOG.warning("quarantine lifted", content=content)
        if self._own_reports.withdraw(lambda item: get_content(item) == content):
            self._publish_own()

    def sweep(self, now_ms):
        """Drop the reports that are no longer needed.

        Parameters
        ----------
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        self._quarantine.drop_old(now_ms)
        if self._own_reports.drop_old(self._quarantine.is_quarantined, now_ms):
            self._on_reports_changed()


def _log_quarantined(request, source):
    _LOG.warning(
        "request quarantined",
        content=request.content,
        callers=request.callers or "all",
        crashes=request.crashes,
        source=source,
    )
