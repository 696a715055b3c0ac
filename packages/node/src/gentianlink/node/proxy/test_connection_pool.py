import asyncio

import pytest

from gentianlink.node.proxy.connection_pool import MAX_IDLE_MS, ConnectionPool
from gentianlink.node.proxy.errors import ConnectionLimitReached, TargetUnreachable

ADDRESS = "127.0.0.1"


class Server:
    """Accepts connections and records their writers."""

    def __init__(self):
        self.writers = []

    async def start(self):
        async def accept(reader, writer):
            self.writers.append(writer)
            await reader.read()
            writer.close()

        self._server = await asyncio.start_server(accept, ADDRESS, 0)
        return self._server.sockets[0].getsockname()[1]

    def stop(self):
        self._server.close()


def run(test, max_open=2):
    async def run_test():
        server = Server()
        port = await server.start()
        pool = ConnectionPool(max_open, 500)
        try:
            return await test(pool, port, server)
        finally:
            pool.close()
            server.stop()

    return asyncio.run(run_test())


class TestConnectionPool:
    def test_connections_to_an_address_are_bounded_idle_ones_included(self):
        async def test(pool, port, server):
            first = await pool.acquire(ADDRESS, port, 0)
            second = await pool.acquire(ADDRESS, port, 0)
            with pytest.raises(ConnectionLimitReached):
                await pool.acquire(ADDRESS, port, 0)
            pool.release(first, True, 0)
            again = await pool.acquire(ADDRESS, port, 0)
            counts = [pool.count_open(ADDRESS, port)]
            for stream in (again, second):
                pool.release(stream, False, 0)
            return again is first, [*counts, pool.count_open(ADDRESS, port)]

        assert run(test) == (True, [2, 0])

    def test_failed_connection_does_not_count(self):
        async def test(pool, port, server):
            with pytest.raises(TargetUnreachable):
                await pool.acquire(ADDRESS, 1, 0)
            return pool.count_open(ADDRESS, 1)

        assert run(test) == 0

    @pytest.mark.parametrize(
        ("idle_ms", "max_idle_ms", "is_same"),
        [(999, 1000, True), (1000, 1000, False), (0, 0, False)],
    )
    def test_connection_that_was_idle_for_too_long_is_not_used(
        self, idle_ms, max_idle_ms, is_same
    ):
        async def test(pool, port, server):
            first = await pool.acquire(ADDRESS, port, 0)
            pool.release(first, True, 0)
            second = await pool.acquire(ADDRESS, port, idle_ms, max_idle_ms)
            pool.release(second, False, 0)
            return second is first, first.closed()

        assert run(test) == (is_same, True)

    def test_sweep_closes_expired_connections_and_those_with_unread_bytes(self):
        async def test(pool, port, server):
            kept, unread = [await pool.acquire(ADDRESS, port, 0) for _ in range(2)]
            while len(server.writers) < 2:
                await asyncio.sleep(0)
            pool.release(kept, True, 0)
            pool.release(unread, True, 0)
            local_address = unread.socket.getsockname()
            for writer in server.writers:
                if writer.get_extra_info("peername") == local_address:
                    writer.write(b"unsolicited")
                    await writer.drain()
            pool.sweep(MAX_IDLE_MS - 1)
            after_bytes = kept.closed(), unread.closed()
            pool.sweep(MAX_IDLE_MS)
            return after_bytes, kept.closed(), pool.count_open(ADDRESS, port)

        assert run(test) == ((False, True), True, 0)
