"""Queue of changed records, so that several of them are sent in one frame."""

from gentianlink.core.node_record import NodeRecord


class PendingRecords:
    """Changed records to send, only the latest of each node and target.

    Parameters
    ----------
    max_records : int
        Number of records at which the queue is full and should be sent at once.
    """

    def __init__(self, max_records):
        self._max_records = max_records
        self._records = {}
        self._holders = {}

    @property
    def is_empty(self):
        """Whether there are no records to send."""
        return not self._records

    @property
    def is_full(self):
        """Whether the records should be sent at once."""
        return len(self._records) >= self._max_records

    def add(self, record, source):
        """Add a changed record, replacing an earlier one of the same node or target.

        Parameters
        ----------
        record : NodeRecord or TargetRecord
            The record.
        source : str or None
            Neighbour that sent the record, None if the change was made by this node.
        """
        key = _get_key(record)
        self._records.pop(key, None)
        self._records[key] = record
        self._holders[key] = set() if source is None else {source}

    def mark_held(self, record, peer_id):
        """Mark a queued record as held by a neighbour, which then is not sent it.

        Parameters
        ----------
        record : NodeRecord or TargetRecord
            The record that the neighbour sent.
        peer_id : str
            Name of the neighbour.
        """
        key = _get_key(record)
        if self._records.get(key) == record:
            self._holders[key].add(peer_id)

    def pop_for_peers(self, peer_ids):
        """Remove all records and return those to send to each neighbour.

        Parameters
        ----------
        peer_ids : iterable of str
            Names of the neighbours.

        Returns
        -------
        dict of str to list
            Records by name of the neighbour, for those that may lack some.
        """
        pending = {}
        for peer_id in peer_ids:
            records = [
                record
                for key, record in self._records.items()
                if peer_id not in self._holders[key]
            ]
            if records:
                pending[peer_id] = records
        self._records = {}
        self._holders = {}
        return pending


def _get_key(record):
    if isinstance(record, NodeRecord):
        return record.node_id
    return record.node_id, record.service, record.target_id
