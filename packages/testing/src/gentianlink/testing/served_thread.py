"""Serve stand-ins from a thread, for tests of code with an event loop of its own."""

import asyncio
import threading

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

JOIN_S = 10
ADDRESS = "127.0.0.1"


class ServedThread:
    """A thread that serves tornado applications on free loopback ports."""

    def __init__(self):
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._servers = []

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *exc_info):
        self.run(self._close())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(JOIN_S)
        self._loop.close()

    def run(self, work):
        """Run a coroutine in the thread and return its result.

        Parameters
        ----------
        work : coroutine
            The work.

        Returns
        -------
        object
            Result of `work`.
        """
        return asyncio.run_coroutine_threadsafe(work, self._loop).result(JOIN_S)

    def serve(self, application):
        """Serve an application.

        Parameters
        ----------
        application : tornado.web.Application
            The application.

        Returns
        -------
        str
            Address such as ``http://127.0.0.1:40001``.
        """
        return self.run(self._serve(application))

    async def _serve(self, application):
        sockets = bind_sockets(0, ADDRESS)
        server = HTTPServer(application)
        server.add_sockets(sockets)
        self._servers.append(server)
        return f"http://{ADDRESS}:{sockets[0].getsockname()[1]}"

    async def _close(self):
        for server in self._servers:
            server.stop()
            await server.close_all_connections()
