"""What this node knows of other nodes and of their targets."""

from gentianlink.core.node_state import NodeState
from gentianlink.ops.membership import (
    compute_node_order,
    compute_record_hash,
    compute_target_order,
    is_newer,
)


class Membership:
    """Records of nodes and targets, each the latest statement heard.

    Parameters
    ----------
    own_record : NodeRecord
        Record of this node.
    on_changed : callable
        Called with the nodes and targets whose records changed.
    """

    def __init__(self, own_record, on_changed):
        self._own_record = own_record
        self._on_changed = on_changed
        self._nodes = {own_record.node_id: own_record}
        self._targets = {}
        self._digest = compute_record_hash(own_record)

    @property
    def digest(self):
        """Digest of all records; equal for equal sets of records."""
        return self._digest

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
        """Records of targets by service and name."""
        return self._targets

    def get_live_nodes(self):
        """Return the records of nodes that take part in the mesh."""
        states = (NodeState.ALIVE, NodeState.SUSPECT)
        return [record for record in self._nodes.values() if record.state in states]

    def merge(self, nodes, targets, source=None):
        """Take in statements and report those that were news.

        Parameters
        ----------
        nodes : iterable of NodeRecord
            Statements about nodes.
        targets : iterable of TargetRecord
            Statements about targets.
        source : str, optional
            Node that the statements came from.

        Returns
        -------
        bool
            True if any statement was news.
        """
        new_nodes = [record for record in nodes if self._merge_node(record)]
        new_targets = [record for record in targets if self._merge_target(record)]
        if new_nodes or new_targets:
            self._on_changed(new_nodes, new_targets, source)
        return bool(new_nodes or new_targets)

    def _merge_node(self, record):
        known = self._nodes.get(record.node_id)
        if not is_newer(known, record, compute_node_order):
            return False
        self._replace(self._nodes, record.node_id, record)
        return True

    def _merge_target(self, record):
        key = (record.service, record.target_id)
        known = self._targets.get(key)
        if not is_newer(known, record, compute_target_order):
            return False
        self._replace(self._targets, key, record)
        return True

    def _replace(self, records, key, record):
        known = records.get(key)
        if known is not None:
            self._digest ^= compute_record_hash(known)
        self._digest ^= compute_record_hash(record)
        records[key] = record
