"""Client of the object store."""

import urllib.parse

from gentianlink.core.errors import ObjectNotFound, PlatformAnswerInvalid
from gentianlink.platform.json_answer import decode_json
from gentianlink.platform.service_connections import ServiceConnections

STATUS_OK = 200
STATUS_NOT_FOUND = 404


class ObjectClient:
    """Reads and writes of immutable objects.

    Parameters
    ----------
    url : str
        Address of the object store.
    timeout_ms : int
        Bound in milliseconds on each request.
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
        """Bytes of requests and answers, with their headers about."""
        return self._connections.transferred_bytes

    @property
    def reads(self):
        """Number of reads sent."""
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
            If there is no such object.
        PlatformError
            If no answer came.
        """
        self._reads += 1
        response = await self._connections.send("GET", _get_path(name))
        if response.code == STATUS_NOT_FOUND:
            raise ObjectNotFound(name)
        if response.code != STATUS_OK:
            raise PlatformAnswerInvalid(f"status {response.code}")
        return response.body

    async def put(self, name, data):
        """Write an object; writing the same object again does no harm.

        Parameters
        ----------
        name : str
            Name of the object.
        data : bytes
            Content of the object.

        Raises
        ------
        PlatformError
            If no answer came.
        """
        response = await self._connections.send("PUT", _get_path(name), data)
        if response.code != STATUS_OK:
            raise PlatformAnswerInvalid(f"status {response.code}")

    async def list(self, prefix):
        """Return the names of the objects with a prefix.

        Parameters
        ----------
        prefix : str
            Prefix of the names.

        Returns
        -------
        list of str
            Names in order.

        Raises
        ------
        PlatformError
            If no answer came.
        """
        self._reads += 1
        query = urllib.parse.urlencode({"prefix": prefix})
        response = await self._connections.send("GET", f"?{query}")
        names = decode_json(response).get("names")
        if not isinstance(names, list):
            raise PlatformAnswerInvalid("no names")
        return names


def _get_path(name):
    return f"/{urllib.parse.quote(name, safe='')}"
