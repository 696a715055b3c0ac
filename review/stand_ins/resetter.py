"""Accept connections and reset each at once, until killed: a store that is down."""

import random
import socket
import struct
import sys
import time

# Time until the reset, drawn anew each time, as a connection may be reset at any
# moment after it was opened.
MAX_DELAY_S = 0.0005


def main():
    """Serve the address that the arguments name."""
    host, port = sys.argv[1], int(sys.argv[2])
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    listener.listen(100)
    print("ready", flush=True)
    while True:
        connection, _ = listener.accept()
        end_s = time.monotonic() + random.uniform(0.0, MAX_DELAY_S)
        while time.monotonic() < end_s:
            continue
        linger = struct.pack("ii", 1, 0)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        connection.close()


if __name__ == "__main__":
    main()
