"""Selection of the nodes that read the operator's table for their data centre.

Calls to the platform and traffic between data centres are billed, and a whole version
takes half a second on the link of a small instance. Therefore a few nodes of each data
centre read the table, and every other node follows one of them.
"""

import collections
import zlib

# With two, the remaining reader already has the version if the other one is lost.
READERS_PER_DATA_CENTRE = 2
# A reader that has failed is not followed for this time, in which a process can start
# or reconnect to the table. The time doubles with each failure in a row, because each
# trial of the failed reader makes the node that reads in its place stop reading.
SUSPEND_MS = 1500.0
SUSPEND_GROWTH = 2.0
MAX_DOUBLINGS = 3


class ReaderSelector:
    """Selects the reader that this node follows, or this node itself.

    Parameters
    ----------
    directory : PeerDirectory
        Records of the nodes.
    """

    def __init__(self, directory):
        self._directory = directory
        self._suspended = {}
        self._failures = collections.Counter()
        self._turn = 0

    def suspend(self, node_id, now_ms):
        """Exclude a node from selection for a while because it failed as a reader.

        Parameters
        ----------
        node_id : str
            Name of the node.
        now_ms : float
            Current time on the monotonic clock in milliseconds.
        """
        failures = min(MAX_DOUBLINGS, self._failures[node_id])
        self._suspended[node_id] = now_ms + SUSPEND_MS * SUSPEND_GROWTH**failures
        self._failures[node_id] = failures + 1

    def note_served(self, node_id):
        """Reset the failure count of a node that answered as a reader.

        Parameters
        ----------
        node_id : str
            Name of the node.
        """
        self._failures.pop(node_id, None)

    def follow_next(self):
        """Follow the next reader from now on, because the last one had nothing newer.

        A reader can't tell a quiet catalogue from a table that does not answer it, and
        another reader has its own way to the table.
        """
        self._turn += 1

    def choose(self, now_ms):
        """Return the reader to follow.

        Parameters
        ----------
        now_ms : float
            Current time on the monotonic clock in milliseconds.

        Returns
        -------
        PeerRecord or None
            None if this node should read the table itself.
        """
        own = self._directory.own
        peers = [
            record
            for record in self._directory.get_holders(0)
            if record.data_centre == own.data_centre and not record.is_stopping
        ]
        ranked = sorted([own, *peers], key=_get_rank)
        available = [
            record
            for record in ranked
            if record is own or self._is_available(record, now_ms)
        ]
        readers = available[:READERS_PER_DATA_CENTRE]
        if own in readers:
            return None
        # A node that takes over for a suspended reader may not know that yet.
        regular = [item for item in ranked[:READERS_PER_DATA_CENTRE] if item in readers]
        readers = regular or readers
        return readers[(zlib.crc32(own.node_id.encode()) + self._turn) % len(readers)]

    def _is_available(self, record, now_ms):
        return self._suspended.get(record.node_id, 0.0) <= now_ms


def _get_rank(record):
    return -record.link_mbps, record.node_id
