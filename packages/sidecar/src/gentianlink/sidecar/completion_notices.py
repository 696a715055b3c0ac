"""Notices between nodes that a request, suspected of a crash, was completed elsewhere.

The node beside a crashed target can't tell a request that crashes targets from one that
was only in flight, unless its own target completes it later. Other targets of the same
service may complete it all the time, and the nodes beside them say so.
"""

import asyncio

from gentianlink.node.log import get_logger

_LOG = get_logger("crashes")

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
        if not isinstance(fingerprint, str):
            raise TypeError(f"fingerprint of type {type(fingerprint).__name__}")
        crash_ids = {_check_crash_id(*item) for item in crashes}
        self._on_completed(fingerprint, crash_ids)


def _check_crash_id(target_id, started_ms):
    if not isinstance(target_id, str) or type(started_ms) is not int:
        raise TypeError("crash without the name and the start of a target")
    return target_id, started_ms
