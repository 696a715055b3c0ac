"""Reports on the crashes of the target beside this node."""

import attrs

# Oldest first, more reports are dropped: the record of a node is passed on whole.
MAX_REPORTS = 8
# A target executes few calls at a time; of more, those sent last are reported.
MAX_CALLS = 64
REPORT_LIFETIME_MS = 3_600_000.0
# After this time all nodes know that a request is quarantined, and which others were in
# flight matters no more.
EXPLAINED_MS = 60_000.0


@attrs.frozen
class _Entry:
    report: object
    made_ms: float


class OwnCrashReports:
    """Latest reports on the crashes of this node's target, as its record names them."""

    def __init__(self):
        self._entries = []

    @property
    def reports(self):
        """The reports, oldest first."""
        return tuple(entry.report for entry in self._entries)

    def add(self, report, now_ms):
        """Add a report on a crash, also one that a former process has made.

        Parameters
        ----------
        report : CrashReport
            The report.
        now_ms : float
            Present time on the monotonic clock in milliseconds.

        Returns
        -------
        bool
            Whether it is new.
        """
        if any(item.report.crash_id == report.crash_id for item in self._entries):
            return False
        report = attrs.evolve(report, fingerprints=report.fingerprints[-MAX_CALLS:])
        self._entries = [*self._entries, _Entry(report, now_ms)][-MAX_REPORTS:]
        return True

    def withdraw(self, is_withdrawn, crash_ids=None):
        """Remove calls from the reports.

        Parameters
        ----------
        is_withdrawn : callable
            Takes a fingerprint, returns whether it is removed.
        crash_ids : set of tuple, optional
            Crashes whose reports may change; by default all.

        Returns
        -------
        bool
            Whether a report has changed.
        """
        before = self._entries
        self._entries = [
            attrs.evolve(entry, report=_withdraw(entry.report, is_withdrawn))
            if crash_ids is None or entry.report.crash_id in crash_ids
            else entry
            for entry in before
        ]
        return self._entries != before

    def drop_old(self, is_quarantined, now_ms):
        """Drop the reports, and the calls in them, that are no evidence any more.

        Parameters
        ----------
        is_quarantined : callable
            Takes a fingerprint, returns whether its request is quarantined.
        now_ms : float
            Present time on the monotonic clock in milliseconds.

        Returns
        -------
        bool
            Whether a report has changed.
        """
        before = self._entries
        current = [
            attrs.evolve(
                entry, report=_withdraw_explained(entry.report, is_quarantined)
            )
            if now_ms - entry.made_ms >= EXPLAINED_MS
            else entry
            for entry in before
        ]
        self._entries = [
            entry
            for entry in current
            if entry.report.fingerprints and now_ms - entry.made_ms < REPORT_LIFETIME_MS
        ]
        return self._entries != before


def _withdraw(report, is_withdrawn):
    kept = tuple(item for item in report.fingerprints if not is_withdrawn(item))
    return attrs.evolve(report, fingerprints=kept)


def _withdraw_explained(report, is_quarantined):
    if not any(is_quarantined(item) for item in report.fingerprints):
        return report
    return _withdraw(report, lambda item: not is_quarantined(item))
