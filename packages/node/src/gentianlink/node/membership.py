"""Membership view of this node: records of nodes and their targets."""

import attrs

from gentianlink.core.node_state import NodeState
from gentianlink.core.target_record import TargetRecord
from gentianlink.core.target_state import TargetState
from gentianlink.node.node_timers import NodeTimers
from gentianlink.node.own_refutation import OwnRefutation
from gentianlink.node.record_buckets import RecordBuckets
from gentianlink.node.target_records import TargetRecords
from gentianlink.ops.membership import (
    LIVE_STATES,
    compute_node_order,
    compute_target_order,
    is_newer,
)

DEAD_AFTER_MS = 4000


class Membership:
    """Latest record of each node and target.

    A target's record is kept only while the record of its node has the same
    incarnation, so a restart of the node removes the targets of its former process.

    Parameters
    ----------
    own_record : NodeRecord
        Record of this node.
    on_changed : callable
        Called with the nodes and targets whose records changed, and the source.
    dead_after_ms : int, optional
        Time in milliseconds that a suspect has to refute before it is declared dead.
    """

    def __init__(self, own_record, on_changed, dead_after_ms=DEAD_AFTER_MS):
        self._own_record = own_record
        self._on_changed = on_changed
        self._nodes = {own_record.node_id: own_record}
        self._targets = TargetRecords()
        self._buckets = RecordBuckets()
        self._buckets.add_node(own_record)
        self._timers = NodeTimers(dead_after_ms)
        self._sequence = 0
        self._refutation = OwnRefutation()
        self._has_left = False
        self._view_changes = 0
        self._changed_services = set()

    @property
    def buckets(self):
        """Digests over the records of live nodes and their targets."""
        return self._buckets

    @property
    def digest(self):
        """Digest of all live records; equal for equal sets of records."""
        return self._buckets.digest

    @property
    def own_record(self):
        """Record of this node."""
        return self._own_record

    @property
    def nodes(self):
        """Records of nodes by name."""
        return self._nodes

    @property
    def targets(self):
        """Records of targets by node, service and name."""
        return self._targets.records

    @property
    def grace(self):
        """Names of dead nodes that still have time to refute."""
        return self._timers.grace

    @property
    def recently_dead(self):
        """Names of nodes that died a short time ago, with the times."""
        return self._timers.recently_dead

    @property
    def view_changes(self):
        """Number of changes of the set of live nodes."""
        return self._view_changes

    def take_changed_services(self):
        """Return the services whose endpoints may have changed since the last call."""
        services = self._changed_services
        self._changed_services = set()
        return services

    def get_live_nodes(self):
        """Return the records of nodes that are alive or suspect."""
        return [node for node in self._nodes.values() if node.state in LIVE_STATES]

    def get_dead_nodes(self):
        """Return the records of nodes that were declared dead."""
        dead = (self._nodes[node_id] for node_id in self._timers.tombstones)
        return [node for node in dead if node.state is NodeState.DEAD]

    def get_targets_of_node(self, node_id):
        """Return the records of the targets of a node."""
        return self._targets.get_of_node(node_id)

    def get_targets_of_service(self, service):
        """Return the records of the targets of a service."""
        return self._targets.get_of_service(service)

    def merge(self, nodes, targets, now_ms, source=None):
        """Merge received records and call ``on_changed`` with those that were later.

        Parameters
        ----------
        nodes : iterable of NodeRecord
            Received records of nodes.
        targets : iterable of TargetRecord
            Received records of targets.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        source : str, optional
            Node that sent the records.

        Returns
        -------
        list of NodeRecord or TargetRecord
            Records of this view that are later than the received ones.
        """
        later = []
        changed_nodes = [
            record for record in nodes if self._merge_node(record, now_ms, later)
        ]
        changed_targets = [
            record for record in targets if self._merge_target(record, now_ms, later)
        ]
        if changed_nodes or changed_targets:
            self._on_changed(changed_nodes, changed_targets, source)
        self._refute_if_needed(now_ms)
        return later

    def _merge_node(self, record, now_ms, later):
        if record.node_id == self._own_record.node_id and record != self._own_record:
            return self._merge_own_record(record, later)
        current = self._nodes.get(record.node_id)
        if record == current:
            return False
        if not is_newer(current, record, compute_node_order):
            later.append(current)
            return False
        self._replace_node(current, record, now_ms)
        return True

    def _merge_own_record(self, record, later):
        if self._refutation.add(self._own_record, record):
            later.append(self._own_record)
        return False

    def _replace_node(self, former, record, now_ms):
        node_id = record.node_id
        if former is not None:
            self._buckets.remove_node(former)
            if former.incarnation != record.incarnation:
                self._remove_targets_of_node(node_id)
        was_live = former is not None and former.state in LIVE_STATES
        is_live = record.state in LIVE_STATES
        self._nodes[node_id] = record
        self._view_changes += was_live != is_live
        if is_live:
            self._buckets.add_node(record)
        if was_live != is_live:
            self._update_target_buckets(node_id, is_live)
        self._timers.note_state(former, record, now_ms)
        self._mark_services_changed(node_id)

    def _mark_services_changed(self, node_id):
        for record in self._targets.get_of_node(node_id):
            self._changed_services.add(record.service)

    def _update_target_buckets(self, node_id, is_live):
        for record in self.get_targets_of_node(node_id):
            if not is_live:
                self._buckets.remove_target(record)
            elif record.state is not TargetState.LEFT:
                self._buckets.add_target(record)

    def _remove_targets_of_node(self, node_id):
        for record in self.get_targets_of_node(node_id):
            self._remove_target(record)

    def _remove_target(self, record):
        self._changed_services.add(record.service)
        self._buckets.remove_target(record)
        self._targets.remove(record)

    def _merge_target(self, record, now_ms, later):
        current = self._targets.get(record)
        if record == current:
            return False
        if current is not None and not is_newer(current, record, compute_target_order):
            later.append(current)
            return False
        node = self._nodes.get(record.node_id)
        if node is None or node.incarnation > record.incarnation:
            later.extend([node] if node else [])
            return False
        if node.incarnation < record.incarnation:
            return False
        if record.node_id == self._own_record.node_id:
            return self._correct_own_target(record, now_ms)
        self._store_target(record, now_ms)
        return True

    def _correct_own_target(self, record, now_ms):
        current = self._targets.get(record)
        state = TargetState.LEFT if current is None else current.state
        slots = 0 if current is None else current.slots
        self._sequence = max(self._sequence, record.sequence)
        self.publish_target(record.service, record.target_id, state, slots, now_ms)
        return False

    def _store_target(self, record, now_ms):
        current = self._targets.get(record)
        if current is not None:
            self._buckets.remove_target(current)
        self._targets.put(record, now_ms)
        self._changed_services.add(record.service)
        is_live = self._nodes[record.node_id].state in LIVE_STATES
        if is_live and record.state is not TargetState.LEFT:
            self._buckets.add_target(record)

    def publish_target(self, service, target_id, state, slots, now_ms):
        """Publish the record of a target of this node.

        Parameters
        ----------
        service : str
            Service of the target.
        target_id : str
            Name of the target.
        state : TargetState
            State of the target.
        slots : int
            Number of calls that the target executes concurrently.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        own = self._own_record
        self._sequence += 1
        record = TargetRecord(
            service,
            target_id,
            own.node_id,
            own.incarnation,
            self._sequence,
            state,
            slots,
        )
        self._store_target(record, now_ms)
        self._on_changed([], [record], None)

    def suspect(self, node_id, now_ms):
        """Publish the suspicion that a node has failed.

        Parameters
        ----------
        node_id : str
            Name of the node.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        current = self._nodes.get(node_id)
        if current is None or current.state is not NodeState.ALIVE:
            return
        self.merge([attrs.evolve(current, state=NodeState.SUSPECT)], [], now_ms)

    def reassert_alive(self, now_ms):
        """Publish again that this node is alive, for example after a pause.

        Parameters
        ----------
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        own = self._own_record
        self._publish_own_record(attrs.evolve(own, sequence=own.sequence + 1), now_ms)

    def leave(self, now_ms):
        """Publish that this node has left the mesh.

        Parameters
        ----------
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        own = self._own_record
        left = attrs.evolve(own, sequence=own.sequence + 1, state=NodeState.LEFT)
        self._publish_own_record(left, now_ms)
        self._has_left = True

    def _publish_own_record(self, record, now_ms):
        former = self._own_record
        self._own_record = record
        self._replace_node(former, record, now_ms)
        self._on_changed([record], [], None)

    def _refute_if_needed(self, now_ms):
        if self._has_left:
            return
        record = self._refutation.take_due(self._own_record, now_ms)
        if record is not None:
            self._publish_own_record(record, now_ms)

    def check(self, now_ms):
        """Send due refutations, and apply the timers of nodes and targets.

        Parameters
        ----------
        now_ms : float
            Present time on the monotonic clock in milliseconds.

        Returns
        -------
        bool
            Whether endpoints may have changed.
        """
        self._refute_if_needed(now_ms)
        self._declare_dead(now_ms)
        self._end_grace(now_ms)
        self._remove_old_tombstones(now_ms)
        return bool(self._changed_services)

    def _declare_dead(self, now_ms):
        dead = [
            attrs.evolve(self._nodes[node_id], state=NodeState.DEAD)
            for node_id in self._timers.get_unrefuted(now_ms)
        ]
        if dead:
            self.merge(dead, [], now_ms)

    def _end_grace(self, now_ms):
        for node_id in self._timers.end_grace(now_ms):
            self._mark_services_changed(node_id)

    def _remove_old_tombstones(self, now_ms):
        for node_id in self._timers.get_old_tombstones(now_ms):
            if node_id == self._own_record.node_id:
                continue
            self._remove_targets_of_node(node_id)
            self._timers.remove(node_id)
            del self._nodes[node_id]
        for record in self._targets.get_old_tombstones(now_ms):
            self._remove_target(record)

    def extend_timers(self, gap_ms):
        """Extend the timers of suspect and dead nodes after a pause of this node.

        Parameters
        ----------
        gap_ms : float
            Length of the pause in milliseconds.
        """
        self._timers.shift(gap_ms)
