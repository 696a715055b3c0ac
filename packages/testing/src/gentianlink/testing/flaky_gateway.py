"""A TCP relay whose connections can go silent without being closed."""

import asyncio

READ_BYTES = 1 << 16


class FlakyGateway:
    """Relays connections to another address until it is told to go silent.

    Parameters
    ----------
    address : str
        IP address and port to listen on.
    other_address : str
        IP address and port to which connections are relayed.
    """

    def __init__(self, address, other_address):
        self._address = address
        self._other_address = other_address
        self._server = None
        self._tasks = set()
        # While true, bytes are read and dropped in both directions.
        self.is_silent = False

    async def start(self):
        """Listen for connections."""
        host, _, port = self._address.rpartition(":")
        self._server = await asyncio.start_server(self._relay, host, int(port))

    async def stop(self):
        """Close all connections."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _relay(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        asyncio.current_task().add_done_callback(self._tasks.discard)
        host, _, port = self._other_address.rpartition(":")
        other_reader, other_writer = await asyncio.open_connection(host, int(port))
        try:
            await asyncio.gather(
                self._copy(reader, other_writer), self._copy(other_reader, writer)
            )
        finally:
            writer.close()
            other_writer.close()

    async def _copy(self, reader, writer):
        while data := await reader.read(READ_BYTES):
            if not self.is_silent:
                writer.write(data)
                await writer.drain()
        writer.close()
