"""Serve web applications from a thread, for tests of code that runs an event loop."""

import asyncio
import threading

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

TIMEOUT_S = 10
ADDRESS = "127.0.0.1"


class ServedThread:
    """Thread whose event loop serves tornado applications on free loopback ports."""

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
        self._thread.join(TIMEOUT_S)
        self._loop.close()

    def run(self, coroutine):
        """Run a coroutine in the thread, wait for it and return its result.

        Parameters
        ----------
        coroutine : coroutine
            Coroutine to run.

        Returns
        -------
        object
            Result of `coroutine`.
        """
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(TIMEOUT_S)

    def serve(self, application):
        """Serve an application on a free port.

        Parameters
        ----------
        application : tornado.web.Application
            Application to serve.

        Returns
        -------
        str
            Base URL such as ``http://127.0.0.1:40001``.
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
