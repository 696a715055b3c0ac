"""Stand-in of a target process with slots, graceful drain and announcements."""

import asyncio
import collections
import os
import signal

import attrs
import orjson
import typer
from tornado.httpclient import AsyncHTTPClient, HTTPClientError
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from gentianlink.core.announcement import Announcement
from gentianlink.core.codec import encode
from gentianlink.core.target_state import TargetState
from gentianlink.node.clock import get_now_ms
from gentianlink.testing.execution_log import ExecutionLog

HEARTBEAT_S = 0.5
DRAIN_S = 1.0


@attrs.define
class TargetProcess:
    """State of the target."""

    service: str
    target_id: str
    address: str
    port: int
    slots: int
    work_ms: float
    node_url: str
    log: ExecutionLog
    state: TargetState = TargetState.STARTING
    free_slots: asyncio.Semaphore = attrs.field(init=False)
    in_flight: int = 0
    executions: collections.Counter = attrs.field(factory=collections.Counter)

    def __attrs_post_init__(self):
        self.free_slots = asyncio.Semaphore(self.slots)

    def make_announcement(self):
        """Return the announcement of the target's present state."""
        return Announcement(
            service=self.service,
            target_id=self.target_id,
            port=self.port,
            slots=self.slots,
            state=self.state.value,
            address=self.address,
        )

    async def announce(self):
        """Send an announcement or heartbeat; errors are ignored until the next one."""
        url = f"{self.node_url}/v1/targets"
        body = encode(self.make_announcement())
        try:
            await AsyncHTTPClient().fetch(url, method="POST", body=body)
        except (HTTPClientError, OSError):
            return


class WorkHandler(RequestHandler):
    """Simulates the execution of calls: occupies a slot for the work time."""

    def initialize(self, process):
        """Store the state of the target."""
        self._process = process

    async def _work(self):
        self._task = asyncio.current_task()
        async with self._process.free_slots:
            await self._work_in_slot()

    def on_connection_close(self):
        """Cancel the work when the connection is closed."""
        self._task.cancel()

    async def _work_in_slot(self):
        process = self._process
        key = self.request.headers.get("Idempotency-Key", "")
        process.in_flight += 1
        process.executions[key] += 1
        request_id = self.request.headers.get("X-Request-Id", "")
        process.log.start(request_id, key, self.request.path, get_now_ms())
        try:
            await asyncio.sleep(process.work_ms / 1000)
            size = int(self.request.headers.get("X-Answer-Bytes", "0"))
            if size:
                await self._stream(size)
                return
            answer = {
                "target": process.target_id,
                "echo": request_id,
            }
            self.finish(orjson.dumps(answer))
        finally:
            process.log.end(request_id, get_now_ms())
            process.in_flight -= 1

    async def _stream(self, size):
        chunk = b"x" * 65536
        self.set_header("Content-Length", str(size))
        while size > 0:
            self.write(chunk[:size])
            size -= len(chunk)
            await self.flush()

    get = _work
    post = _work
    put = _work


class CountsHandler(WorkHandler):
    """Serves the numbers of executions and of calls in flight."""

    def get(self):
        """Answer with the executions by idempotency key, and the calls in flight."""
        process = self._process
        self.finish(
            orjson.dumps(
                {"executions": process.executions, "in_flight": process.in_flight}
            )
        )


class WorkTimeHandler(WorkHandler):
    """Sets the work time of calls."""

    def put(self):
        """Set the work time to the milliseconds in the body."""
        self._process.work_ms = float(self.request.body)


async def run_target(process, stop_requested):
    """Serve calls until a stop is requested, then drain and leave.

    Parameters
    ----------
    process : TargetProcess
        State of the target.
    stop_requested : asyncio.Event
        Set to request the stop.
    """
    arguments = {"process": process}
    application = Application(
        [
            ("/stand-in/counts", CountsHandler, arguments),
            ("/stand-in/work-ms", WorkTimeHandler, arguments),
            ("/.*", WorkHandler, arguments),
        ],
        log_function=lambda handler: None,
    )
    server = HTTPServer(application)
    server.add_sockets(bind_sockets(process.port, process.address))
    process.state = TargetState.READY
    while not stop_requested.is_set():
        await process.announce()
        try:
            await asyncio.wait_for(stop_requested.wait(), HEARTBEAT_S)
        except TimeoutError:
            continue
    process.state = TargetState.DRAINING
    await process.announce()
    await asyncio.sleep(DRAIN_S)
    while process.in_flight:
        await asyncio.sleep(0.01)
    process.state = TargetState.LEFT
    await process.announce()


async def _run(process):
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()

    def request_stop():
        if stop_requested.is_set():
            os._exit(1)
        stop_requested.set()

    loop.add_signal_handler(signal.SIGTERM, request_stop)
    await run_target(process, stop_requested)


def main(
    service: str,
    target_id: str,
    port: int,
    node_url: str,
    address: str = "127.0.0.1",
    slots: int = 10,
    work_ms: float = 5.0,
    log_path: str = "",
):
    """Run a stand-in of a target; SIGTERM drains it, a second one ends it at once."""
    log = ExecutionLog(log_path, target_id)
    process = TargetProcess(
        service, target_id, address, port, slots, work_ms, node_url, log
    )
    asyncio.run(_run(process))


if __name__ == "__main__":
    typer.run(main)
