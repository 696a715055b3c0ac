"""Target that answers every request with a constant response, for load tests."""

import asyncio
import sys

import uvloop
from tornado.httpclient import AsyncHTTPClient, HTTPClientError

from gentianlink.core.announcement import Announcement
from gentianlink.core.codec import encode
from gentianlink.core.target_state import TargetState

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
END_OF_HEAD = b"\r\n\r\n"
HEARTBEAT_S = 0.5


class PlainProtocol(asyncio.Protocol):
    """Answers each request head; requests must have no body."""

    def connection_made(self, transport):
        """Store the transport and start with an empty buffer."""
        self._transport = transport
        self._buffer = b""

    def data_received(self, data):
        """Answer each complete request head; buffer an incomplete one."""
        self._buffer += data
        count = self._buffer.count(END_OF_HEAD)
        if count:
            self._buffer = self._buffer[self._buffer.rindex(END_OF_HEAD) + 4 :]
            self._transport.write(ANSWER * count)


async def run(service, target_id, address, port, slots, node_url):
    """Serve requests and announce the target to its node until killed."""
    loop = asyncio.get_running_loop()
    await loop.create_server(PlainProtocol, address, port)
    state = TargetState.READY.value
    announcement = Announcement(service, target_id, port, slots, state, address)
    body = encode(announcement)
    while True:
        try:
            await AsyncHTTPClient().fetch(
                f"{node_url}/v1/targets", method="POST", body=body
            )
        except (HTTPClientError, OSError):
            pass
        await asyncio.sleep(HEARTBEAT_S)


def main():
    """Run as a process: service, target id, address, port, slots, node URL."""
    service, target_id, address, port, slots, node_url = sys.argv[1:]
    uvloop.run(run(service, target_id, address, int(port), int(slots), node_url))


if __name__ == "__main__":
    main()
