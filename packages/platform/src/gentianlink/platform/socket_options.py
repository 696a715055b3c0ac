"""Socket options of outgoing connections."""

import socket

# TCP keep-alive: an idle connection is probed after 1 s and closed after two more
# seconds without an answer, so that an unresponsive peer does not block a call until
# its deadline.
KEEP_ALIVE_IDLE_S = 1
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_PROBES = 2
# Time after which unacknowledged data closes the connection.
USER_TIMEOUT_MS = 1500


def set_connection_options(connection):
    """Disable Nagle's algorithm and enable detection of unresponsive peers.

    Parameters
    ----------
    connection : socket.socket
        A TCP socket.
    """
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    ):
        connection.setsockopt(socket.IPPROTO_TCP, option, value)
