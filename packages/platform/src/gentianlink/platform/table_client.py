"""Client of the table service."""

import urllib.parse

import orjson

from gentianlink.core.errors import PlatformAnswerInvalid, WriteConflict
from gentianlink.platform.json_answer import decode_json
from gentianlink.platform.row import Row
from gentianlink.platform.service_connections import ServiceConnections

STATUS_OK = 200
STATUS_CONFLICT = 409


class TableClient:
    """Reads and conditional transactions of the table service.

    Parameters
    ----------
    url : str
        Address of the table service.
    timeout_ms : int
        Bound in milliseconds on each request.
    """

    def __init__(self, url, timeout_ms):
        self._connections = ServiceConnections(url, timeout_ms)
        self._reads = 0
        self._writes = 0

    @classmethod
    def from_settings(cls, settings):
        """Return a client for the ``platform`` section of the settings."""
        return cls(settings.table_url, settings.timeout_ms)

    @property
    def transferred_bytes(self):
        """Bytes of requests and answers, with their headers about."""
        return self._connections.transferred_bytes

    @property
    def reads(self):
        """Number of reads sent."""
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
            If no answer came.
        """
        self._reads += 1
        name = urllib.parse.quote(key, safe="")
        response = await self._connections.send("GET", f"/rows/{name}")
        return _decode_row(decode_json(response))

    async def scan(self, prefix, after="", limit=1000):
        """Read the rows whose keys have a prefix.

        Parameters
        ----------
        prefix : str
            Prefix of the keys.
        after : str, optional
            Key after which to begin.
        limit : int, optional
            Largest number of rows.

        Returns
        -------
        list of Row
            Rows in the order of their keys.

        Raises
        ------
        PlatformError
            If no answer came.
        """
        self._reads += 1
        query = urllib.parse.urlencode(
            {"prefix": prefix, "after": after, "limit": limit}
        )
        response = await self._connections.send("GET", f"/rows?{query}")
        rows = decode_json(response).get("rows")
        if not isinstance(rows, list):
            raise PlatformAnswerInvalid("no rows")
        return [_decode_row(row) for row in rows]

    async def transact(self, puts, checks=(), deletes=()):
        """Write rows if each checked row is still at its revision.

        Parameters
        ----------
        puts : list of tuple of str
            Keys and values to write; all of them or none.
        checks : sequence of Row, optional
            Rows that must still be at the given revision.
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
                "checks": [
                    {"key": row.key, "revision": row.revision} for row in checks
                ],
                "puts": [{"key": key, "value": value} for key, value in puts],
                "deletes": list(deletes),
            }
        )
        response = await self._connections.send("POST", "/transact", body)
        answer = decode_json(response)
        if response.code == STATUS_CONFLICT:
            raise WriteConflict(answer.get("key"), answer.get("revision"))
        revision = answer.get("revision")
        if response.code != STATUS_OK or not isinstance(revision, int):
            raise PlatformAnswerInvalid(f"status {response.code}")
        return revision


def _decode_row(value):
    try:
        row = Row(value["key"], value["revision"], value["value"])
    except (KeyError, TypeError) as error:
        raise PlatformAnswerInvalid("not a row") from error
    if not isinstance(row.value, str) or not isinstance(row.revision, int):
        raise PlatformAnswerInvalid("not a row")
    return row
