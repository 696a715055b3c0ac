"""Report which port a node could not listen on."""

import contextlib

from gentianlink.node.errors import ListenFailed

CANNOT_BIND = "the port is in use, or the address is not this instance's"


@contextlib.contextmanager
def report_listen_failure(key, listen):
    """Convert a failure to listen on a port into ``ListenFailed``.

    Parameters
    ----------
    key : str
        Key of the port.
    listen : ListenSettings
        Addresses of this node.

    Raises
    ------
    ListenFailed
        If the block fails to listen.
    """
    try:
        yield
    except (OSError, RuntimeError) as error:
        why = getattr(error, "strerror", None) or CANNOT_BIND
        port = getattr(listen, key)
        raise ListenFailed(key, listen.address, port, why) from error
