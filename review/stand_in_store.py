"""Stand-in of the platform's store: rows, transactions, long polls."""

import asyncio
import base64
import json
import socket
import struct
import time
import urllib.parse

from stand_in_http import format_message, read_message

ANSWER_S = 0.004
MAX_ROWS = 500


class Store:
    """The store, which answers after 4 ms, or with 503 while it is down.

    Parameters
    ----------
    address : str
        IP address and TCP port.
    """

    def __init__(self, address):
        self.address = address
        self.is_down = False
        self.calls = 0
        self._version = 0
        self._rows = {}
        self._history = []
        self._changed = asyncio.Event()
        self._server = None
        self._writers = set()

    async def start(self):
        """Start to accept connections."""
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def stop(self):
        """Stop accepting connections."""
        self._server.close()

    def write(self, table, key, value):
        """Write a row, as the operator does."""
        self._apply([(table, key, value)])

    def read(self, table, key):
        """Return the value of a row, None if there is no such row."""
        return self._rows.get((table, key), (0, None))[1]

    def _apply(self, changes):
        self._version += 1
        for table, key, value in changes:
            self._rows[table, key] = self._version, value
            self._history.append((self._version, table, key, value))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                await asyncio.sleep(ANSWER_S)
                self.calls += 1
                status, value = 503, {}
                if not self.is_down:
                    status, value = await self._answer(message)
                if self.is_down:
                    status, value = 503, {}
                value["now_s"] = time.monotonic()
                headers = {"Content-Type": "application/json"}
                body = json.dumps(value).encode()
                writer.write(format_message(f"HTTP/1.1 {status} X", headers, body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    def cut_off(self):
        """Reset all connections, and accept none until it is started again."""
        self._server.close()
        for writer in list(self._writers):
            _reset(writer)

    async def _answer(self, message):
        parts = urllib.parse.urlsplit(message.path)
        name = parts.path.rsplit("/", 1)[-1]
        query = dict(urllib.parse.parse_qsl(parts.query))
        if name == "rows-tx":
            return self._transact(json.loads(message.body))
        if name == "rows-get":
            return self._get(query)
        if name == "rows-feed":
            return await self._feed(query)
        return 404, {}

    def _transact(self, body):
        current = []
        for item in body.get("expected", ()):
            found = self._rows.get((item["table"], item["key"]), (0, None))
            version = found[0] if found[1] is not None else 0
            if version != item["ver"]:
                current.append(item | {"ver": version})
        if current:
            return 412, {"rows": current, "ver": self._version}
        changes = [
            (item["table"], item["key"], base64.b64decode(item["value"]))
            for item in body.get("writes", ())
        ]
        changes += [
            (item["table"], item["key"], None) for item in body.get("deletes", ())
        ]
        self._apply(changes)
        return 200, {"ver": self._version}

    def _get(self, query):
        first, end = query.get("from", ""), query.get("to", "")
        limit = min(MAX_ROWS, int(query.get("limit", MAX_ROWS)))
        rows = sorted(
            (key, version, value)
            for (table, key), (version, value) in self._rows.items()
            if table == query["table"] and value is not None
            if key >= first and (not end or key < end)
        )
        encoded = [_encode(query["table"], row) for row in rows[:limit]]
        has_more = len(rows) > limit
        return 200, {"rows": encoded, "has_more": has_more, "ver": self._version}

    async def _feed(self, query):
        after = int(query["after"])
        end_s = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while not self.is_down:
            latest = {}
            for version, table, key, value in self._history:
                if version > after and table == query["table"]:
                    latest.pop(key, None)
                    latest[key] = key, version, value
            left_s = end_s - time.monotonic()
            if latest or left_s <= 0:
                rows = [_encode(query["table"], row) for row in latest.values()]
                return 200, {"rows": rows, "ver": self._version}
            try:
                async with asyncio.timeout(min(0.1, left_s)):
                    await self._changed.wait()
            except TimeoutError:
                continue
        return 503, {}


def _reset(writer):
    connection = writer.get_extra_info("socket")
    linger = struct.pack("ii", 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


def _encode(table, row):
    key, version, value = row
    item = {"table": table, "part": "", "key": key, "ver": version}
    if value is None:
        return item | {"tombstone": True}
    return item | {"value": base64.b64encode(value).decode()}
