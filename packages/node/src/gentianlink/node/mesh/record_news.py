"""Collect news about nodes and targets, to send several of them in one frame."""

from gentianlink.core.node_record import NodeRecord


class RecordNews:
    """News that wait to be sent; of each node and target only the latest.

    Parameters
    ----------
    max_records : int
        Number of records from which on the news should not wait longer.
    """

    def __init__(self, max_records):
        self._max_records = max_records
        self._records = {}
        self._holders = {}

    @property
    def is_empty(self):
        """Whether nothing waits."""
        return not self._records

    @property
    def is_full(self):
        """Whether the news should not wait longer."""
        return len(self._records) >= self._max_records

    def add(self, record, source):
        """Add a record that is news here.

        Parameters
        ----------
        record : NodeRecord or TargetRecord
            The record.
        source : str or None
            Neighbour that it came from.
        """
        key = _get_key(record)
        self._records.pop(key, None)
        self._records[key] = record
        self._holders[key] = set() if source is None else {source}

    def note_holder(self, record, peer_id):
        """Note that a neighbour holds a record, so that it need not be sent there.

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

    def take(self, peer_ids):
        """Take out all news.

        Parameters
        ----------
        peer_ids : iterable of str
            Names of the neighbours.

        Returns
        -------
        dict of str to list
            Records for each neighbour that may lack some.
        """
        news = {}
        for peer_id in peer_ids:
            records = [
                record
                for key, record in self._records.items()
                if peer_id not in self._holders[key]
            ]
            if records:
                news[peer_id] = records
        self._records = {}
        self._holders = {}
        return news


def _get_key(record):
    if isinstance(record, NodeRecord):
        return record.node_id
    return record.node_id, record.service, record.target_id
