"""HTTP stand-in of the platform: table service and object store, held in memory."""

import asyncio
import base64
import sys

import orjson
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from gentianlink.platform import wire
from gentianlink.testing.fault_handler import (
    FaultHandler,
    FaultsHandler,
    FaultState,
    LimitsHandler,
)
from gentianlink.testing.platform_tables import PlatformTables

STATUS_CONFLICT = 412
STATUS_GONE = 410
MAX_ROWS = 500
MAX_NAMES = 1000
STATUS_NOT_FOUND = 404
MAX_BODY_BYTES = 64 << 20


def encode_row(table, row):
    """Return the JSON object that represents a row.

    Parameters
    ----------
    table : str
        Name of the table.
    row : tuple
        Key, revision and value; the value is None for a deleted row.

    Returns
    -------
    dict
        JSON object; a deleted row is marked as a tombstone.
    """
    key, revision, value = row
    encoded = {"table": table, "part": "", "key": key, "ver": revision}
    if value is None:
        encoded["tombstone"] = True
    else:
        encoded["value"] = base64.b64encode(value).decode()
    return encoded


def _get_key(item):
    return item["table"], item["key"]


class TableHandler(FaultHandler):
    """Names the era of the table service in its answers."""

    def answer(self, value, status=200):
        """Send a JSON answer."""
        self.set_header(wire.STORE_ERA, str(self.state.era))
        super().answer(value, status)


class RowsHandler(TableHandler):
    """Serves range reads."""

    async def get(self):
        """Answer with one page of the rows in a range of keys."""
        first = self.get_query_argument("from", "")
        end = self.get_query_argument("to", "")
        limit = min(MAX_ROWS, int(self.get_query_argument("limit", str(MAX_ROWS))))
        await self.wait_in_queue(self.fault_state.reads)
        table = self.get_query_argument("table")
        rows = self.state.read_range(table, first, end, limit + 1)
        self.answer(
            {
                "rows": [encode_row(table, row) for row in rows[:limit]],
                "has_more": len(rows) > limit,
                "ver": self.state.revision,
            }
        )


class FeedHandler(TableHandler):
    """Serves the change feed of a table by long poll."""

    async def get(self):
        """Answer with the rows that changed after a revision, or 410 if compacted."""
        table = self.get_query_argument("table")
        after = int(self.get_query_argument("after"))
        wait_s = int(self.get_query_argument("wait_ms", "0")) / 1000
        await self.wait_in_queue(self.fault_state.reads)
        era = self.state.era
        rows = await self.state.wait_for_changes(table, after, wait_s)
        if self.state.era != era:
            # The service was away for a moment.
            self.lose_answer()
        if rows is None:
            self.answer({}, STATUS_GONE)
            return
        self.answer(
            {
                "rows": [encode_row(table, row) for row in rows],
                "ver": self.state.revision,
            }
        )


class TransactHandler(TableHandler):
    """Serves conditional transactions."""

    async def post(self):
        """Write all rows, or answer 412 with those of the checked rows that exist."""
        body = orjson.loads(self.request.body)
        checks = [(_get_key(item), item["ver"]) for item in body["expected"]]
        puts = [
            (_get_key(item), base64.b64decode(item["value"])) for item in body["writes"]
        ]
        deletes = [_get_key(item) for item in body.get("deletes", [])]
        rows = len(puts) + len(deletes)
        units = max(1, rows) if self.fault_state.limits.count_rows else 1
        await self.wait_in_queue(self.fault_state.writes, units)
        effect_delay_ms = self.fault_state.faults.land_late_ms
        if effect_delay_ms:
            loop = asyncio.get_running_loop()
            loop.call_later(
                effect_delay_ms / 1000, self.state.transact, checks, puts, deletes
            )
            self.lose_answer()
        conflict, revision = self.state.transact(checks, puts, deletes)
        if conflict is not None:
            rows = [self.state.find(key) for key, _ in checks]
            found = [
                encode_row(key[0], row)
                for (key, _), row in zip(checks, rows, strict=True)
                if row is not None
            ]
            self.answer({"rows": found}, STATUS_CONFLICT)
            return
        self.answer({"ver": revision})


class ObjectHandler(FaultHandler):
    """Serves reads and writes of single objects."""

    def get(self, name):
        """Answer with the content of the object."""
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
    """Serves the list of objects."""

    def get(self):
        """Answer with one page of the names that start with a prefix."""
        prefix = self.get_query_argument("prefix", "")
        names = sorted(name for name in self.state if name.startswith(prefix))
        after = self.get_query_argument("after", "")
        page = [name for name in names if name > after][: MAX_NAMES + 1]
        self.answer({"names": page[:MAX_NAMES], "has_more": len(page) > MAX_NAMES})


class CountsHandler(FaultHandler):
    """Serves the numbers of reads and writes of the tables; no faults apply."""

    def get(self):
        """Answer with the numbers of reads and writes."""
        self.answer({"reads": self.state.reads, "writes": self.state.writes})


def make_application():
    """Return the web application with empty tables and an empty object store."""
    table = {"state": PlatformTables(), "fault_state": FaultState()}
    objects = {"state": {}, "fault_state": FaultState()}
    faultless = {"state": table["state"], "fault_state": FaultState()}
    return Application(
        [
            ("/table/api/rows-get", RowsHandler, table),
            ("/table/api/rows-feed", FeedHandler, table),
            ("/table/api/rows-tx", TransactHandler, table),
            ("/objects/api/blob-list", ObjectsHandler, objects),
            ("/objects/api/blob-(?:get|put)/(.+)", ObjectHandler, objects),
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
        IP address to listen on.
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
