"""Notices between nodes that a request, suspected of a crash, was completed elsewhere.

The node beside a crashed target can't tell a request that crashes targets from one that
was only in flight, unless its own target completes it later. Other targets of the same
service may complete it all the time, and the nodes beside them say so.
"""

import asyncio

from gentianlink.core.field_checks import check_integer, check_text

COMPLETED = "completed"
# A notice is sent twice, as datagrams may be lost.
REPEAT_S = 0.06
MAX_CRASHES = 8


class CompletionNotices:
    """Sends and receives notices about suspected requests that were completed.

    Parameters
    ----------
    directory : PeerDirectory
        Nodes and their targets.
    datagrams : DatagramEndpoint
        Sends and receives datagrams.
    on_completed : callable
        Called with a fingerprint and a set of crash ids when another node's target has
        completed the request after these crashes of this node's target.
    """

    def __init__(self, directory, datagrams, on_completed):
        self._directory = directory
        self._datagrams = datagrams
        self._on_completed = on_completed
        datagrams.register(COMPLETED, self._receive)

    def send(self, node_id, fingerprint, crash_ids):
        """Tell a node that this node's target has completed a request.

        Parameters
        ----------
        node_id : str
            Name of the node that has reported the crashes.
        fingerprint : str
            Fingerprint of the request.
        crash_ids : list of tuple
            Name and start of each crashed process that this node knew of.

        Returns
        -------
        bool
            Whether the completion is evidence: the targets of both nodes provide the
            same service.
        """
        record = self._directory.get(node_id)
        own = self._directory.own
        if record is None or record.target is None or own.target is None:
            return False
        if record.target.service != own.target.service:
            return False
        message = [fingerprint, crash_ids[:MAX_CRASHES]]
        self._datagrams.send(record.peer_address, COMPLETED, message)
        asyncio.get_running_loop().call_later(
            REPEAT_S, self._datagrams.send, record.peer_address, COMPLETED, message
        )
        return True

    def _receive(self, message, sender):
        fingerprint, crashes = message
        crash_ids = {
            (check_text(name), check_integer(start)) for name, start in crashes
        }
        self._on_completed(check_text(fingerprint), crash_ids)
