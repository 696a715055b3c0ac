"""Client of the platform's table service."""

import base64
import urllib.parse

import orjson

from gentianlink.core.errors import (
    HistoryUnavailable,
    PlatformAnswerInvalid,
    WriteConflict,
)
from gentianlink.core.field_checks import UNREADABLE
from gentianlink.core.row import Row
from gentianlink.core.row_change import RowChange
from gentianlink.core.row_changes import RowChanges
from gentianlink.platform import wire
from gentianlink.platform.json_answer import decode_json
from gentianlink.platform.service_connections import ServiceConnections

STATUS_OK = 200
STATUS_CONFLICT = 412
STATUS_HISTORY_GONE = 410


class TableClient:
    """Reads rows, writes them in transactions and polls for changes.

    Parameters
    ----------
    url : str
        Base URL of the table service.
    timeout_ms : int
        Timeout in milliseconds of each request.
    table : str, optional
        Name of the table that the client accesses.
    """

    def __init__(self, url, timeout_ms, table=wire.PRODUCT_TABLE):
        self._connections = ServiceConnections(url, timeout_ms)
        self._table = table
        self._reads = 0
        self._writes = 0

    @classmethod
    def from_settings(cls, settings):
        """Return a client for the ``platform`` section of the settings."""
        return cls(settings.table_url, settings.timeout_ms)

    @property
    def transferred_bytes(self):
        """Approximate number of bytes sent and received, including headers."""
        return self._connections.transferred_bytes

    @property
    def reads(self):
        """Number of read requests sent."""
        return self._reads

    @property
    def writes(self):
        """Number of transactions sent."""
        return self._writes

    async def read(self, key):
        """Read one row.

        Parameters
        ----------
        key : str
            Key of the row.

        Returns
        -------
        Row
            The row; revision 0 and an empty value if it does not exist.

        Raises
        ------
        PlatformError
            If the row could not be read.
        """
        page, _ = await self._read_page(key, "", 1)
        return page[0] if page and page[0].key == key else Row(key, 0, "")

    async def scan(self, prefix, after="", limit=1000):
        """Read the rows whose keys have a prefix.

        Parameters
        ----------
        prefix : str
            Prefix of the keys.
        after : str, optional
            Key after which the scan begins.
        limit : int, optional
            Maximum number of rows.

        Returns
        -------
        list of Row
            Rows sorted by key.

        Raises
        ------
        PlatformError
            If the rows could not be read.
        """
        end = _compute_range_end(prefix)
        first = max(prefix, after)
        rows = []
        has_more = True
        while has_more and len(rows) < limit:
            page, has_more = await self._read_page(first, end, limit - len(rows) + 1)
            new = [row for row in page if row.key > after]
            if not new:
                break
            rows += new
            first = after = rows[-1].key
        return rows[:limit]

    async def _read_page(self, first, end, limit):
        # A range includes its first key, so a page that continues after a key repeats
        # the row of that key.
        self._reads += 1
        query = {"table": self._table, "part": "", "from": first, "limit": limit}
        if end:
            query["to"] = end
        path = f"{wire.ROWS_GET_PATH}?{urllib.parse.urlencode(query)}"
        answer = _decode_answer(await self._connections.send("GET", path))
        rows = [_decode_row(row) for row in _get_rows(answer)]
        return rows, bool(answer.get("has_more"))

    async def read_all(self):
        """Read all rows of the table.

        Returns
        -------
        RowChanges
            All rows, and the revision after which to wait for changes.

        Raises
        ------
        PlatformError
            If the table could not be read.
        """
        changes = {}
        first = ""
        revision = None
        era = 0
        while True:
            self._reads += 1
            query = urllib.parse.urlencode(
                {"table": self._table, "part": "", "from": first}
            )
            path = f"{wire.ROWS_GET_PATH}?{query}"
            response = await self._connections.send("GET", path)
            answer = _decode_answer(response)
            if revision is None:
                revision, era = _get_revision(answer), _decode_era(response)
            _check_era(response, era)
            page = [_decode_change(row) for row in _get_rows(answer)]
            changes.update((change.key, change) for change in page)
            if not answer.get("has_more") or not page or page[-1].key == first:
                return RowChanges(tuple(changes.values()), revision, era)
            first = page[-1].key

    async def wait_for_changes(self, revision, era, wait_ms, margin_ms):
        """Wait by long polling until rows of the table change.

        Parameters
        ----------
        revision : int
            Revision after which changes are returned.
        era : int
            Era in which the service gave out the revision.
        wait_ms : int
            Maximum wait in milliseconds.
        margin_ms : float
            Timeout in milliseconds in addition to the requested wait.

        Returns
        -------
        RowChanges
            Changed rows, none if nothing changed within the wait, and the revision
            for the next call.

        Raises
        ------
        HistoryUnavailable
            If the service discarded changes after `revision`, or has returned from an
            older copy since then; read the table again.
        PlatformError
            If the changes could not be read.
        """
        self._reads += 1
        query = urllib.parse.urlencode(
            {"table": self._table, "after": revision, "wait_ms": wait_ms}
        )
        path = f"{wire.ROWS_FEED_PATH}?{query}"
        # A lost long poll is not repeated at once: the service may have returned from
        # an older copy, which the caller has to find out first.
        response = await self._connections.send(
            "GET",
            path,
            timeout_ms=wait_ms + margin_ms,
            may_repeat=wait_ms == 0,
        )
        if response.code == STATUS_HISTORY_GONE:
            raise HistoryUnavailable(f"after revision {revision}")
        answer = _decode_answer(response)
        _check_era(response, era)
        rows = tuple(_decode_change(row) for row in _get_rows(answer))
        return RowChanges(rows, _get_revision(answer), era)

    async def transact(self, puts, checks=(), deletes=()):
        """Write and delete rows if each checked row is still at its revision.

        Parameters
        ----------
        puts : list of tuple of str
            Keys and values to write, atomically.
        checks : sequence of Row, optional
            Rows that must still be at their revision.
        deletes : sequence of str, optional
            Keys of rows to remove with the same transaction.

        Returns
        -------
        int
            Revision of the transaction.

        Raises
        ------
        WriteConflict
            If a checked row is at another revision; nothing was written.
        PlatformUnavailable
            If nothing was written.
        PlatformOutcomeUnknown
            If the transaction may have taken effect.
        """
        self._writes += 1
        body = orjson.dumps(
            {
                "expected": [
                    {**self._make_row_reference(row.key), "ver": row.revision}
                    for row in checks
                ],
                "writes": [
                    {**self._make_row_reference(key), "value": _encode_value(value)}
                    for key, value in puts
                ],
                "deletes": [self._make_row_reference(key) for key in deletes],
            }
        )
        response = await self._connections.send(
            "POST", wire.ROWS_TRANSACTION_PATH, body
        )
        answer = decode_json(response)
        if response.code == STATUS_CONFLICT:
            raise _make_conflict(checks, answer)
        if response.code != STATUS_OK:
            raise PlatformAnswerInvalid(f"unexpected status {response.code}")
        return _get_revision(answer)

    def _make_row_reference(self, key):
        return {"table": self._table, "part": "", "key": key}

    def close(self):
        """Close the idle connections."""
        self._connections.close()


def _compute_range_end(prefix):
    return prefix[:-1] + chr(ord(prefix[-1]) + 1) if prefix else ""


def _encode_value(value):
    return base64.b64encode(value.encode()).decode()


def _make_conflict(checks, answer):
    found = {row.key: row.revision for row in map(_decode_row, _get_rows(answer))}
    for row in checks:
        revision = found.get(row.key, 0)
        if revision != row.revision:
            return WriteConflict(row.key, revision)
    raise PlatformAnswerInvalid("conflict, but every checked row is at its revision")


def _decode_answer(response):
    if response.code != STATUS_OK:
        raise PlatformAnswerInvalid(f"unexpected status {response.code}")
    return decode_json(response)


def _decode_era(response):
    value = response.headers.get(wire.STORE_ERA, "0")
    if not value.isdecimal():
        raise PlatformAnswerInvalid(f"era {value!r} is not a number")
    return int(value)


def _check_era(response, era):
    found = _decode_era(response)
    if found != era:
        raise HistoryUnavailable(f"the table is of era {found}, no longer {era}")


def _get_rows(answer):
    rows = answer.get("rows")
    if not isinstance(rows, list):
        raise PlatformAnswerInvalid("answer without rows")
    return rows


def _get_revision(answer):
    revision = answer.get("ver")
    if not isinstance(revision, int):
        raise PlatformAnswerInvalid("answer without a revision")
    return revision


def _decode_row(value):
    change = _decode_change(value)
    try:
        text = change.value.decode()
    except UnicodeDecodeError as error:
        raise PlatformAnswerInvalid("row value is not UTF-8 text") from error
    return Row(change.key, change.revision, text)


def _decode_change(value):
    try:
        key, revision = value["key"], value["ver"]
        is_removed = bool(value.get("tombstone"))
        data = base64.b64decode(value.get("value") or "", validate=True)
    except UNREADABLE as error:
        raise PlatformAnswerInvalid("malformed row") from error
    if not isinstance(key, str) or not isinstance(revision, int):
        raise PlatformAnswerInvalid("malformed row")
    return RowChange(key, revision, data, is_removed)
