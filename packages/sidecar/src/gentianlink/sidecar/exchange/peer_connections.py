"""Connections to other nodes, opened when needed and closed when idle."""

from gentianlink.node.clock import get_monotonic_ms
from gentianlink.platform.service_connections import ServiceConnections

# Upper bound for the answer of a busy node over an intact link.
TIMEOUT_MS = 1000
MAX_IDLE_MS = 10_000.0


class PeerConnections:
    """Pools of connections by the address of the other node."""

    def __init__(self):
        self._by_address = {}
        self._used_ms = {}

    def get(self, address):
        """Return the connections to an address.

        Parameters
        ----------
        address : str
            IP address and TCP port.

        Returns
        -------
        ServiceConnections
            Connections that may be used at once.
        """
        self._used_ms[address] = get_monotonic_ms()
        connections = self._by_address.get(address)
        if connections is None:
            connections = ServiceConnections(f"http://{address}", TIMEOUT_MS)
            self._by_address[address] = connections
        return connections

    def sweep(self, now_ms):
        """Close the connections that have not been used for a while.

        Parameters
        ----------
        now_ms : float
            Current time on the monotonic clock in milliseconds.
        """
        for address, used_ms in list(self._used_ms.items()):
            if now_ms - used_ms >= MAX_IDLE_MS:
                self._by_address.pop(address).close()
                del self._used_ms[address]

    def close(self):
        """Close all connections."""
        for connections in self._by_address.values():
            connections.close()
