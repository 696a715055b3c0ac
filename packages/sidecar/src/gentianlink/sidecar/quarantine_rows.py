"""Rows of quarantined requests in the table service.

They last when all nodes are killed at once, and when the nodes that reported the
crashes are gone. An operator lifts a quarantine by removing its row.
"""

from gentianlink.core.errors import CodecError
from gentianlink.node.log import get_logger
from gentianlink.sidecar.quarantine_codec import (
    KEY_PREFIX,
    decode_request,
    encode_request,
    get_key,
)

_LOG = get_logger("rows")


class QuarantineRows:
    """Which rows of quarantined requests are stored, and which are to be written.

    Parameters
    ----------
    on_stored : callable
        Called with each QuarantinedRequest that another node, or an earlier process of
        this one, has stored.
    on_lifted : callable
        Called with the content of each request whose row has been removed.
    """

    def __init__(self, on_stored, on_lifted):
        self._on_stored = on_stored
        self._on_lifted = on_lifted
        # Values by key: of this node's rows, of those to be written, and of all that it
        # knows to be stored.
        self._own = {}
        self._due = {}
        self._stored = {}
        # Keys of the rows to remove.
        self._superseded = set()

    @property
    def due(self):
        """Keys and values of the rows to write."""
        return list(self._due.items())

    def put(self, request):
        """Have the row of a request written."""
        key = get_key(request)
        self._superseded.discard(key)
        self._own[key] = self._due[key] = encode_request(request)

    @property
    def superseded(self):
        """Keys of the rows to remove."""
        return sorted(self._superseded)

    def remove(self, request):
        """Have the row of a request removed, which a target has completed."""
        key = get_key(request)
        for values in (self._own, self._due, self._stored):
            values.pop(key, None)
        self._superseded.add(key)

    def note_written(self, rows, removed=()):
        """Record that rows have been written, which may have changed since then.

        Parameters
        ----------
        rows : iterable of tuple of str
            Keys and values of the rows.
        removed : iterable of str, optional
            Keys of the rows that were removed by the same transaction.
        """
        for key, value in rows:
            self._stored[key] = value
            if self._due.get(key) == value:
                del self._due[key]
        self._superseded.difference_update(removed)

    def note_restored(self):
        """Record that the table service has returned from a copy that may lack rows."""
        self._due = dict(self._own)
        self._stored.clear()

    def note_read(self, rows, is_complete):
        """Take rows into account that were read.

        Parameters
        ----------
        rows : iterable of RowChange
            Rows of quarantined requests.
        is_complete : bool
            Whether these are all such rows, and none has been removed by a restore.
        """
        removed = {row.key for row in rows if row.is_removed}
        if is_complete:
            removed |= self._stored.keys() - {row.key for row in rows}
        for key in sorted(removed):
            for values in (self._own, self._due, self._stored):
                values.pop(key, None)
            self._on_lifted(key.removeprefix(KEY_PREFIX))
        for row in rows:
            if not row.is_removed:
                self._load(row)

    def _load(self, row):
        value = row.value.decode(errors="replace")
        if row.key in self._superseded:
            return
        if self._stored.get(row.key) == value:
            return
        try:
            request = decode_request(value)
        except CodecError as error:
            _LOG.warning("quarantine row unreadable", key=row.key, why=str(error))
            return
        self._stored[row.key] = value
        self._on_stored(request)
