"""Prometheus metrics of a node."""

from aioprometheus import REGISTRY, Gauge


class NodeMetrics:
    """Gauges that the admin port serves."""

    def __init__(self):
        REGISTRY.clear()
        self._version = Gauge(
            "gentianlink_applied_version", "Catalogue version in force."
        )
        self._links = Gauge("gentianlink_links", "Links to neighbours.")
        self._nodes = Gauge("gentianlink_nodes", "Live nodes known.")
        self._records = Gauge("gentianlink_records", "Live records held.")
        self._builds = Gauge("gentianlink_table_builds", "Routing tables built.")
        self._calls = Gauge("gentianlink_calls", "Calls by outcome.")
        self._in_flight = Gauge("gentianlink_calls_in_flight", "Calls being handled.")
        self._platform = Gauge(
            "gentianlink_platform_requests", "Requests to the platform by kind."
        )
        self._claims = Gauge(
            "gentianlink_claims", "Results of at-most-once calls by kind."
        )
        self._claims_pending = Gauge(
            "gentianlink_claims_pending", "At-most-once calls and writes under way."
        )
        self._platform_bytes = Gauge(
            "gentianlink_platform_bytes", "Bytes exchanged with the platform."
        )
        self._control_bytes = Gauge(
            "gentianlink_control_bytes", "Bytes of frames between nodes."
        )
        self._refused = Gauge(
            "gentianlink_refused_versions", "Catalogue versions refused."
        )
        self._convergence = Gauge(
            "gentianlink_convergence_ms",
            "Time from acceptance to this node, or to the last of its data centre.",
        )

        self._class_calls = Gauge(
            "gentianlink_calls_by_class", "Calls by class of work and outcome."
        )
        self._refusals = Gauge("gentianlink_refusals", "Refused calls by reason.")
        self._retries = Gauge(
            "gentianlink_retries", "Further attempts after the first ones of calls."
        )
        self._slots = Gauge(
            "gentianlink_slots", "Slots of the targets beside this node by use."
        )
        self._queued = Gauge("gentianlink_queued_calls", "Calls that wait for a slot.")
        self._ready = Gauge("gentianlink_ready", "1 if this node wants new calls.")
        self._nodes = Gauge("gentianlink_live_nodes", "Live nodes known.")
        self._head_failing = Gauge(
            "gentianlink_head_read_failing", "1 if the last read of the head failed."
        )

    def update(self, status):
        """Set the gauges from a status.

        Parameters
        ----------
        status : NodeStatus
            Status of the node.
        """
        self._version.set({}, status.version)
        self._links.set({}, len(status.links))
        self._nodes.set({}, status.nodes)
        self._records.set({}, status.records)
        self._builds.set({}, status.table_builds)
        self._in_flight.set({}, status.in_flight)
        for outcome, count in status.outcomes.items():
            self._calls.set({"outcome": outcome}, count)
        self._platform.set({"kind": "read"}, status.platform_reads)
        self._platform.set({"kind": "write"}, status.platform_writes)
        for result, count in status.claims.items():
            self._claims.set({"result": result}, count)
        for kind, count in status.claims_pending.items():
            self._claims_pending.set({"kind": kind}, count)
        self._refused.set({}, len(status.refused))
        for name, count in status.control_bytes.items():
            direction, _, kind = name.partition(" ")
            self._control_bytes.set({"direction": direction, "kind": kind}, count)
        if status.own_convergence_ms is not None:
            self._convergence.set({"scope": "node"}, status.own_convergence_ms)
        if status.data_centre_convergence_ms is not None:
            labels = {"scope": "data_centre"}
            self._convergence.set(labels, status.data_centre_convergence_ms)
        self._platform_bytes.set({}, status.platform_bytes)
        self._ready.set({}, int(status.ready))
        self._nodes.set({}, status.nodes)
        self._head_failing.set({}, int(bool(status.platform_failure)))
        self._retries.set({}, status.retries)
        for name, count in status.calls_by_class.items():
            work_class, _, outcome = name.partition(" ")
            self._class_calls.set({"class": work_class, "outcome": outcome}, count)
        for reason, count in status.refusals.items():
            self._refusals.set({"reason": reason}, count)
        self._slots.values.clear()
        self._queued.values.clear()
        for target_id, load in status.targets.items():
            self._slots.set({"target": target_id, "use": "free"}, load.free_slots)
            self._slots.set({"target": target_id, "use": "taken"}, load.in_flight)
            self._queued.set({"target": target_id}, load.queued)
