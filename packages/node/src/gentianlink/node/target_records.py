"""Records of targets, by node and by service."""

from gentianlink.core.target_state import TargetState
from gentianlink.node.node_timers import TOMBSTONE_MS


class TargetRecords:
    """Latest record of each target; those that left are kept for a bounded time."""

    def __init__(self):
        self._records = {}
        self._by_node = {}
        self._by_service = {}
        self._left_ms = {}

    @property
    def records(self):
        """Records by node, service and name."""
        return self._records

    def get(self, record):
        """Return the stored record of the same target, or None."""
        return self._records.get(_get_key(record))

    def get_of_node(self, node_id):
        """Return the records of the targets of a node."""
        return list(self._by_node.get(node_id, {}).values())

    def get_of_service(self, service):
        """Return the records of the targets of a service."""
        return list(self._by_service.get(service, {}).values())

    def put(self, record, now_ms):
        """Store a record in place of the target's previous one.

        Parameters
        ----------
        record : TargetRecord
            The record.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        key = _get_key(record)
        self._records[key] = record
        self._by_node.setdefault(record.node_id, {})[key] = record
        self._by_service.setdefault(record.service, {})[key] = record
        self._left_ms.pop(key, None)
        if record.state is TargetState.LEFT:
            self._left_ms[key] = now_ms

    def remove(self, record):
        """Remove the record of a target."""
        key = _get_key(record)
        del self._records[key]
        self._left_ms.pop(key, None)
        _remove(self._by_node, record.node_id, key)
        _remove(self._by_service, record.service, key)

    def get_old_tombstones(self, now_ms):
        """Return the records of left targets whose tombstones have expired.

        Parameters
        ----------
        now_ms : float
            Present time on the monotonic clock in milliseconds.

        Returns
        -------
        list of TargetRecord
            The records.
        """
        return [
            self._records[key]
            for key, since_ms in self._left_ms.items()
            if now_ms >= since_ms + TOMBSTONE_MS
        ]


def _get_key(record):
    return record.node_id, record.service, record.target_id


def _remove(index, name, key):
    del index[name][key]
    if not index[name]:
        del index[name]
