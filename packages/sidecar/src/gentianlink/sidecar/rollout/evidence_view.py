"""Evidence on the targets of a service, collected from the nodes beside them."""

import collections

import attrs

from gentianlink.sidecar.rollout.evidence_counter import RuleCounts

# Evidence older than this is dropped.
MAX_AGE_MS = 8000.0
# A report that follows the last one of its node after a longer time than this is not
# counted: the node was cut off, and calls fail there for other causes than the version.
# Two lost reports in a row are within it.
MAX_GAP_MS = 1700.0
# Reports of other nodes on the same time come up to a period earlier.
FIRST_MARGIN_MS = 500.0


@attrs.frozen
class EvidenceReport:
    """Evidence of one node on the target beside it.

    Attributes
    ----------
    node_id : str
        Name of the node.
    stream : tuple
        Incarnation of the node and start of the target's process; counts of different
        streams are not comparable.
    version : str
        Version of the target.
    data_centre : str
        Data centre of the node.
    closed_revision : int
        Revision of the order for which the gate accepts no more calls, 0 if it does.
    in_flight : int
        Calls at the target or at its gate.
    rules : list of list
        Result of :meth:`EvidenceCounter.make_report`; a part of it if it is long.
    """

    node_id: str
    stream: tuple
    version: str
    data_centre: str
    closed_revision: int
    in_flight: int
    rules: list


@attrs.define
class TargetEvidence:
    """Evidence on one target within a window.

    Attributes
    ----------
    version : str
        Version of the target.
    data_centre : str
        Data centre of the target.
    counts : dict of str to RuleCounts
        Counts by rule.
    """

    version: str
    data_centre: str
    counts: dict


@attrs.define
class _Stream:
    stream: tuple
    version: str
    data_centre: str
    last_ms: float
    closed_revision: int = 0
    in_flight: int = 0
    totals: dict = attrs.field(factory=dict)
    heard_ms: dict = attrs.field(factory=dict)
    pending: dict = attrs.field(factory=dict)
    deltas: collections.deque = attrs.field(factory=collections.deque)


class EvidenceView:
    """Counts by target and rule over the last seconds."""

    def __init__(self):
        self._streams = {}
        self._first_ms = {}

    def note(self, report, now_ms):
        """Take a report into account.

        Parameters
        ----------
        report : EvidenceReport
            The report.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        stream = self._streams.get(report.node_id)
        if stream is None or stream.stream != report.stream:
            stream = self._streams[report.node_id] = _Stream(
                report.stream, report.version, report.data_centre, now_ms
            )
        gap_ms = now_ms - stream.last_ms
        stream.last_ms = now_ms
        stream.closed_revision = report.closed_revision
        stream.in_flight = report.in_flight
        for rule_name, *values in report.rules:
            *counts, pending, log_sum, log_squares = values
            counts = RuleCounts(*counts)
            known = stream.totals.get(rule_name)
            if known is not None and counts.answers < known.answers:
                # Datagrams arrive in another order at times.
                continue
            stream.totals[rule_name] = counts
            stream.heard_ms[rule_name] = now_ms
            ages = RuleCounts(0, 0, pending, log_sum, log_squares)
            stream.pending[rule_name] = ages
            delta = attrs.evolve(counts)
            if known is not None:
                delta.add(known, -1)
            # The first report of a stream says what happened before it, too.
            is_counted = gap_ms <= MAX_GAP_MS and (known is not None or gap_ms > 0)
            is_new = bool(delta.answers or delta.times)
            if pending or (is_counted and is_new):
                self._first_ms.setdefault(report.version, now_ms)
            if is_counted and is_new:
                stream.deltas.append((now_ms, rule_name, delta))
        while stream.deltas and now_ms - stream.deltas[0][0] > MAX_AGE_MS:
            stream.deltas.popleft()

    def list_evidence(self, since_ms, now_ms):
        """Return the evidence on each target since a time.

        Parameters
        ----------
        since_ms : float
            Start of the window on the monotonic clock in milliseconds.
        now_ms : float
            Present time on the monotonic clock in milliseconds.

        Returns
        -------
        list of TargetEvidence
            Evidence on the targets of which there is any.
        """
        evidence = []
        for stream in self._streams.values():
            counts = {}
            for time_ms, rule_name, delta in stream.deltas:
                if time_ms > since_ms:
                    counts.setdefault(rule_name, RuleCounts()).add(delta)
            if now_ms - stream.last_ms <= MAX_GAP_MS:
                for rule_name, ages in stream.pending.items():
                    if ages.times and stream.heard_ms[rule_name] == stream.last_ms:
                        counts.setdefault(rule_name, RuleCounts()).add(ages)
            if counts:
                evidence.append(
                    TargetEvidence(stream.version, stream.data_centre, counts)
                )
        return evidence

    def get_first_ms(self, version, now_ms):
        """Return a time just before the first evidence on a version."""
        return self._first_ms.get(version, now_ms) - FIRST_MARGIN_MS

    def is_closed_and_idle(self, node_id, revision):
        """Return whether a node has reported a closed gate without calls in flight.

        Parameters
        ----------
        node_id : str
            Name of the node.
        revision : int
            Revision of the order for which the gate has to be closed.
        """
        stream = self._streams.get(node_id)
        if stream is None or stream.closed_revision != revision:
            return False
        return stream.in_flight == 0

    def has_reported(self, node_id):
        """Return whether a node has ever sent evidence."""
        return node_id in self._streams
