"""Client of the object store."""

import urllib.parse

from gentianlink.core.errors import ObjectNotFound, PlatformAnswerInvalid
from gentianlink.platform import wire
from gentianlink.platform.json_answer import decode_json
from gentianlink.platform.service_connections import ServiceConnections

STATUS_OK = 200
STATUS_NOT_FOUND = 404


class ObjectClient:
    """Reads, writes and lists immutable objects.

    Parameters
    ----------
    url : str
        Base URL of the object store.
    timeout_ms : int
        Timeout in milliseconds of each request.
    """

    def __init__(self, url, timeout_ms):
        self._connections = ServiceConnections(url, timeout_ms)
        self._reads = 0

    @classmethod
    def from_settings(cls, settings):
        """Return a client for the ``platform`` section of the settings."""
        return cls(settings.object_url, settings.timeout_ms)

    @property
    def transferred_bytes(self):
        """Approximate number of bytes sent and received, including headers."""
        return self._connections.transferred_bytes

    @property
    def reads(self):
        """Number of read requests sent."""
        return self._reads

    async def get(self, name):
        """Read an object.

        Parameters
        ----------
        name : str
            Name of the object.

        Returns
        -------
        bytes
            Content of the object.

        Raises
        ------
        ObjectNotFound
            If the object does not exist.
        PlatformError
            If the object could not be read.
        """
        self._reads += 1
        response = await self._connections.send(
            "GET", wire.OBJECT_GET_PATH + _quote(name)
        )
        if response.code == STATUS_NOT_FOUND:
            raise ObjectNotFound(name)
        if response.code != STATUS_OK:
            raise PlatformAnswerInvalid(f"unexpected status {response.code}")
        return response.body

    async def put(self, name, data):
        """Write an object; the operation is idempotent.

        Parameters
        ----------
        name : str
            Name of the object.
        data : bytes
            Content of the object.

        Raises
        ------
        PlatformError
            If the write failed or its outcome is unknown.
        """
        response = await self._connections.send(
            "PUT", wire.OBJECT_PUT_PATH + _quote(name), data
        )
        if response.code != STATUS_OK:
            raise PlatformAnswerInvalid(f"unexpected status {response.code}")

    async def list(self, prefix):
        """Return the names of the objects with a prefix.

        Parameters
        ----------
        prefix : str
            Prefix of the names.

        Returns
        -------
        list of str
            Sorted names.

        Raises
        ------
        PlatformError
            If the names could not be read.
        """
        names = []
        while True:
            self._reads += 1
            after = names[-1] if names else ""
            query = urllib.parse.urlencode({"prefix": prefix, "after": after})
            path = f"{wire.OBJECT_LIST_PATH}?{query}"
            answer = decode_json(await self._connections.send("GET", path))
            page = answer.get("names")
            if not isinstance(page, list):
                raise PlatformAnswerInvalid("answer without names")
            names += page
            if not page or not answer.get("has_more"):
                return names


def _quote(name):
    return urllib.parse.quote(name, safe="")
