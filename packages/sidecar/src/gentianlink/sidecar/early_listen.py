"""Listen for callers before the slow imports of a start.

A start takes about a third of a second, most of it for imports. Callers that connect
during this time wait in the backlog of the listening socket and are answered once the
process serves. Without it their connections would be refused, and many callers retry
only once. To listen as soon as possible, this module itself imports nothing slow.
"""

import re
import socket

BACKLOG = 512
_CALLS_ADDRESS = re.compile(r"^\s*calls\s*=\s*([0-9.]+):([0-9]+)\s*$", re.MULTILINE)


def listen_early(settings_path):
    """Listen on the address for callers that is given in a settings file.

    Parameters
    ----------
    settings_path : str
        The settings file; the usual start validates it.

    Returns
    -------
    socket.socket or None
        The listening socket, None if the file or the address can't be used; the
        usual start then reports the error.
    """
    try:
        with open(settings_path, encoding="utf-8") as file:
            found = _CALLS_ADDRESS.search(file.read())
        if found is None:
            return None
        return _listen(found[1], int(found[2]))
    except (OSError, UnicodeDecodeError):
        return None


def _listen(host, port):
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        listener.bind((host, port))
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        raise
    return listener
