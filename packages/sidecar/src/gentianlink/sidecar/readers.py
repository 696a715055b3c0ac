"""Which nodes of a data centre read the operator's table, and for whom.

Calls to the platform and bytes between data centres have a price, and a whole version
takes half a second on the link of a small instance. So a few nodes of each data centre
read the table and the others follow one of them.
"""

import collections
import zlib

# With two, a reader that is lost is replaced by one that has the version already.
READERS = 2
# A node that did not serve as a reader is asked again after this time: it is as long as
# a process needs to start or to find its way to the table again. Each time in a row it
# is left alone for twice as long: the node that reads in its place would stop for it.
SUSPEND_MS = 1500.0
SUSPEND_GROWTH = 2.0
MAX_FAILURES = 3


class Readers:
    """Chooses where this node gets versions from.

    Parameters
    ----------
    directory : PeerDirectory
        Records of the nodes.
    """

    def __init__(self, directory):
        self._directory = directory
        self._suspended = {}
        self._failures = collections.Counter()

    def suspend(self, node_id, now_ms):
        """Take in that a node does not serve as a reader at present.

        Parameters
        ----------
        node_id : str
            Name of the node.
        now_ms : float
            Present time on the monotonic clock in milliseconds.
        """
        failures = min(MAX_FAILURES, self._failures[node_id])
        self._suspended[node_id] = now_ms + SUSPEND_MS * SUSPEND_GROWTH**failures
        self._failures[node_id] = failures + 1

    def note_served(self, node_id):
        """Take in that a node serves as a reader.

        Parameters
        ----------
        node_id : str
            Name of the node.
        """
        self._failures.pop(node_id, None)

    def choose(self, now_ms):
        """Return the node to follow.

        Parameters
        ----------
        now_ms : float
            Present time on the monotonic clock in milliseconds.

        Returns
        -------
        PeerRecord or None
            None if this node itself should read the table.
        """
        own = self._directory.own
        peers = [
            record
            for record in self._directory.get_holders(0)
            if record.data_centre == own.data_centre
            and not record.is_stopping
            and self._suspended.get(record.node_id, 0.0) <= now_ms
        ]
        ranked = sorted([own, *peers], key=_get_rank)
        readers = ranked[:READERS]
        if own in readers:
            return None
        return readers[zlib.crc32(own.node_id.encode()) % len(readers)]


def _get_rank(record):
    return -record.link_mbps, record.node_id
