"""Counters and latency histograms of one process.

Values are kept as plain numbers. The metrics library is imported at the first scrape,
because importing it would lengthen the start of the process by a tenth.
"""

import collections

# Upper bounds of the histogram buckets, from a short read to a long route timeout.
BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)
MS_PER_S = 1000
PREFIX = "gentianlink_"
# Help text of each metric by name, without the prefix.
COUNTERS = {
    "calls_total": "Calls of callers by rule, outcome and reason.",
    "pipelined_requests_total": "Requests read before the answer to an earlier one.",
    "reading_pauses_total": "Pauses in reading from callers, by the bound reached.",
    "refusals_total": "Attempts that no target answered, by reason and outcome.",
    "retries_total": "Further sendings of calls, by service and whether granted.",
    "arrivals_total": "Calls sent to the own target, by service and attempt.",
    "sent_total": "Sendings of calls by target, rule and why it was chosen.",
    "left_total": "Sendings to other data centres, by data centre and why.",
    "gate_refusals_total": "Calls that the own gate refused, by rule and reason.",
    "target_crashes_total": "Crashes of the own target with calls in flight.",
    "versions_refused_total": "Catalogue versions that could not be read.",
    "version_fetches_total": "Versions asked of a node because the feed was late.",
    "store_calls_total": "Calls to the table service by kind.",
    "rollout_steps_total": "Steps of roll-outs that this node decided, by phase.",
    "rollout_evidence_total": "Datagrams with evidence on versions, sent and received.",
    "rollout_refusals_total": "Calls that the own gate refused because of a roll-out.",
    "quota_refusals_total": "Calls over a limit of a tenant, by tenant and cause.",
    "quota_takeovers_total": "Windows of tenants taken over from another owner.",
    "announcements_kept_total": "Announcements of leaving targets, by where kept.",
    "suspicions_withdrawn_total": "Suspected requests that a target has completed.",
    "task_failures_total": "Failures of tasks that were started again, by task.",
    "log_lines_left_out_total": "Log lines that were not written, by cause.",
}
HISTOGRAMS = {
    "call_seconds": "Time of calls of callers by rule and outcome.",
    "gate_wait_seconds": "Time that calls waited for a slot, by rule.",
    "target_seconds": "Time that the target worked on calls, by rule.",
}
GAUGES = {
    "catalogue_version": "Catalogue version in force.",
    "catalogue_newest_version": "Newest version that another node has in force.",
    "catalogue_lag_seconds": "Time for which a version of another node is missing.",
    "feed_call_seconds": "Age of the unanswered call to the source of versions.",
    "catalogue_unknown_kinds": "Kinds of rules that this release does not know.",
    "buffered_body_bytes": "Bytes of large bodies that are arriving.",
    "pipelined_bytes": "Bytes of pipelined requests and of answers in line.",
    "arrivals_in_window": "Calls sent to the own target within the budget's window.",
    "repeats_allowed": "Repeats of calls that began at this node, by service.",
    "gate_in_flight": "Calls that the target executes.",
    "gate_waiting": "Calls that wait for a slot.",
    "target_work_ms": "Typical time of the own target by rule, as published.",
    "data_centre_load": "Load of other data centres, as answers have shown it.",
    "target_rate_limit": "Calls a second that the target accepts; -1 without limit.",
    "quarantined_requests": "Requests that are not sent to targets any more.",
    "suspected_requests": "Requests that may have crashed several targets.",
    "peers": "Other nodes that are known.",
    "peer_links": "Nodes with which this node exchanges state.",
    "rollouts_running": "Roll-outs that have not ended.",
    "rollout_share": "Largest share of calls that a new version gets.",
    "quota_held_tokens": "Tokens that this node holds, by tenant.",
    "quota_answer_age_seconds": "Age of the owner's last answer, by tenant.",
    "quota_counted_tokens": "Tokens in the window of an own tenant, by tenant.",
    "quota_share": "Share of each limit that this side of a partition may use.",
    "store_lost": "1 if the last call to the table service failed.",
}


class CallMetrics:
    """Event counters and latency histograms, rendered in the Prometheus format."""

    def __init__(self):
        self._counts = collections.Counter()
        self._buckets = {}
        self._sums = collections.Counter()

    def count(self, name, **labels):
        """Increment a counter.

        Parameters
        ----------
        name : str
            One of `COUNTERS`.
        **labels : str
            Label values by label name.
        """
        self._counts[name, tuple(labels.items())] += 1

    def observe(self, name, elapsed_ms, **labels):
        """Add an observation to a histogram.

        Parameters
        ----------
        name : str
            One of `HISTOGRAMS`.
        elapsed_ms : float
            Observed duration in milliseconds.
        **labels : str
            Label values by label name.
        """
        key = name, tuple(labels.items())
        buckets = self._buckets.get(key)
        if buckets is None:
            buckets = self._buckets[key] = [0] * (len(BUCKETS_S) + 1)
        elapsed_s = elapsed_ms / MS_PER_S
        index = 0
        while index < len(BUCKETS_S) and elapsed_s > BUCKETS_S[index]:
            index += 1
        buckets[index] += 1
        self._sums[key] += elapsed_s

    def render(self, totals, gauges):
        """Return all metrics in the Prometheus text format.

        Parameters
        ----------
        totals : dict of tuple to float
            Values of counters that other objects keep, by name and label pairs.
        gauges : dict of str to float or list
            Current value of each of `GAUGES`, or a list of pairs of labels (a dict) and
            value.

        Returns
        -------
        bytes
            Body of the answer to a scrape.
        """
        import aioprometheus
        from aioprometheus.formats import text

        registry = aioprometheus.Registry()
        counters = {**self._counts, **totals}
        for name, help_text in COUNTERS.items():
            metric = aioprometheus.Counter(PREFIX + name, help_text, registry=registry)
            for (counter, labels), value in counters.items():
                if counter == name:
                    metric.set(dict(labels), value)
        for name, help_text in GAUGES.items():
            metric = aioprometheus.Gauge(PREFIX + name, help_text, registry=registry)
            value = gauges[name]
            for labels, number in value if isinstance(value, list) else [({}, value)]:
                metric.set(labels, number)
        for name, help_text in HISTOGRAMS.items():
            self._render_histogram(aioprometheus, registry, name, help_text)
        return text.TextFormatter().marshall(registry)

    def _render_histogram(self, library, registry, name, help_text):
        parts = {
            part: library.Counter(
                f"{PREFIX}{name}_{part}", help_text, registry=registry
            )
            for part in ("bucket", "sum", "count")
        }
        for key, buckets in self._buckets.items():
            if key[0] != name:
                continue
            labels = dict(key[1])
            cumulative = 0
            for bound, count in zip((*BUCKETS_S, "+Inf"), buckets, strict=True):
                cumulative += count
                parts["bucket"].set({**labels, "le": str(bound)}, cumulative)
            parts["sum"].set(labels, self._sums[key])
            parts["count"].set(labels, cumulative)
