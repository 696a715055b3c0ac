"""Accept connections and reset each at once, until killed: a store that is down."""

import math
import random
import socket
import struct
import sys
import time

# Time until the reset, drawn anew each time between these: each order of magnitude is
# as likely as the others.
MIN_DELAY_S, MAX_DELAY_S = 0.00002, 0.01


def _draw_delay_s():
    return math.exp(random.uniform(math.log(MIN_DELAY_S), math.log(MAX_DELAY_S)))


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
        end_s = time.monotonic() + _draw_delay_s()
        while time.monotonic() < end_s:
            continue
        linger = struct.pack("ii", 1, 0)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        connection.close()


if __name__ == "__main__":
    main()
