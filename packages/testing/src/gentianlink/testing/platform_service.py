"""Stand-in of the platform: the table service and the object store."""

import asyncio
import sys

import orjson
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from gentianlink.testing.fault_handler import (
    FaultHandler,
    FaultsHandler,
    FaultState,
    LimitsHandler,
)
from gentianlink.testing.table_state import TableState

STATUS_CONFLICT = 409
STATUS_NOT_FOUND = 404
MAX_BODY_BYTES = 64 << 20


class RowHandler(FaultHandler):
    """Reads one row."""

    async def get(self, key):
        """Answer with the row."""
        await self.wait_in_queue(self.fault_state.reads)
        revision, value = self.state.read(key)
        self.answer({"key": key, "revision": revision, "value": value})


class RowsHandler(FaultHandler):
    """Scans rows."""

    async def get(self):
        """Answer with the rows that have a prefix."""
        prefix = self.get_query_argument("prefix", "")
        after = self.get_query_argument("after", "")
        limit = int(self.get_query_argument("limit", "1000"))
        await self.wait_in_queue(self.fault_state.reads)
        rows = self.state.scan(prefix, after, limit)
        keys = ("key", "revision", "value")
        self.answer({"rows": [dict(zip(keys, row, strict=True)) for row in rows]})


class TransactHandler(FaultHandler):
    """Runs conditional transactions."""

    async def post(self):
        """Write all rows, or none."""
        body = orjson.loads(self.request.body)
        checks = [(item["key"], item["revision"]) for item in body["checks"]]
        puts = [(item["key"], item["value"]) for item in body["puts"]]
        deletes = body.get("deletes", [])
        rows = len(puts) + len(deletes)
        units = max(1, rows) if self.fault_state.limits.count_rows else 1
        await self.wait_in_queue(self.fault_state.writes, units)
        late_ms = self.fault_state.faults.land_late_ms
        if late_ms:
            loop = asyncio.get_running_loop()
            loop.call_later(late_ms / 1000, self.state.transact, checks, puts, deletes)
            self.lose_answer()
        conflict, revision = self.state.transact(checks, puts, deletes)
        if conflict is not None:
            answer = {"key": conflict[0], "revision": conflict[1]}
            self.answer(answer, STATUS_CONFLICT)
            return
        self.answer({"revision": revision})


class ObjectHandler(FaultHandler):
    """Reads and writes one object."""

    def get(self, name):
        """Answer with the object."""
        data = self.state.get(name)
        if data is None:
            self.answer({}, STATUS_NOT_FOUND)
            return
        self.finish(data)

    def put(self, name):
        """Write the object."""
        self.state[name] = self.request.body
        self.answer({})


class ObjectsHandler(FaultHandler):
    """Lists objects."""

    def get(self):
        """Answer with the names that have a prefix."""
        prefix = self.get_query_argument("prefix", "")
        names = sorted(name for name in self.state if name.startswith(prefix))
        self.answer({"names": names})


class CountsHandler(FaultHandler):
    """Says how often the table was read and written."""

    def get(self):
        """Answer with the counts."""
        self.answer({"reads": self.state.reads, "writes": self.state.writes})


def make_application():
    """Return the application with an empty table and object store."""
    table = {"state": TableState(), "fault_state": FaultState()}
    objects = {"state": {}, "fault_state": FaultState()}
    faultless = {"state": table["state"], "fault_state": FaultState()}
    return Application(
        [
            ("/table/rows", RowsHandler, table),
            ("/table/rows/(.+)", RowHandler, table),
            ("/table/transact", TransactHandler, table),
            ("/objects", ObjectsHandler, objects),
            ("/objects/(.+)", ObjectHandler, objects),
            ("/counts", CountsHandler, faultless),
            ("/faults/table", FaultsHandler, {"fault_state": table["fault_state"]}),
            ("/limits/table", LimitsHandler, {"fault_state": table["fault_state"]}),
            ("/faults/objects", FaultsHandler, {"fault_state": objects["fault_state"]}),
        ],
        log_function=lambda handler: None,
    )


def start_platform(address, port):
    """Start the stand-in in this process.

    Parameters
    ----------
    address : str
        IP number to listen on.
    port : int
        TCP port to listen on.

    Returns
    -------
    tornado.httpserver.HTTPServer
        The running server.
    """
    server = HTTPServer(make_application(), max_body_size=MAX_BODY_BYTES)
    server.add_sockets(bind_sockets(port, address))
    return server


async def _run(address, port):
    start_platform(address, port)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(_run(sys.argv[1], int(sys.argv[2])))
