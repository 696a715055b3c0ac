"""Connections and exchange state for one other node."""

import asyncio

from gentianlink.platform.service_connections import ServiceConnections

# Upper bound for the answer of a busy node over an intact link.
TIMEOUT_MS = 1000


class PeerLink:
    """Connections to one other node, and the state of the exchange with it.

    Parameters
    ----------
    address : str
        IP address and TCP port of the node for the state exchange.
    now_ms : float
        Current time on the monotonic clock in milliseconds.
    """

    def __init__(self, address, now_ms):
        self.address = address
        self.connections = ServiceConnections(f"http://{address}", TIMEOUT_MS)
        self.wake = asyncio.Event()
        self.task = None
        self.node_id = None
        self.last_heard_ms = now_ms
        self.failures = 0
        self.acknowledged_order = None

    def note_failure(self):
        """Count an unanswered exchange.

        The node may have restarted, so the next message carries the whole record.
        """
        self.failures += 1
        self.acknowledged_order = None

    def note_heard(self, node_id, acknowledged_order, now_ms):
        """Record that a message of the node has arrived.

        Parameters
        ----------
        node_id : str
            Name of the node.
        acknowledged_order : tuple of int
            Incarnation and sequence of this node's record that the other node has.
        now_ms : float
            Current time on the monotonic clock in milliseconds.
        """
        self.node_id = node_id
        self.acknowledged_order = acknowledged_order
        self.last_heard_ms = now_ms
        self.failures = 0
