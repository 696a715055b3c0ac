"""Read access to the accepted catalogue and its audit trail on the platform."""

import hashlib

from gentianlink.core.catalogue import Catalogue
from gentianlink.core.change import Change
from gentianlink.core.codec import compute_digest, decode, encode
from gentianlink.core.delta import Delta
from gentianlink.core.errors import DigestMismatch, ObjectNotFound
from gentianlink.core.head import Head
from gentianlink.ops.delta import apply_delta
from gentianlink.store.names import (
    HEAD_KEY,
    get_change_id_key,
    get_change_key,
    get_delta_name,
    get_snapshot_name,
)


class CatalogueReader:
    """Reads accepted versions from the table service and the object store.

    Parameters
    ----------
    table : TableClient
        The table service.
    objects : ObjectClient
        The object store.
    """

    def __init__(self, table, objects):
        self._table = table
        self._objects = objects

    async def read_head(self):
        """Return the head and the row that contains it.

        Returns
        -------
        head : Head
            The latest accepted version; version 0 if there is none.
        row : Row
            The row with its revision, for a conditional write.
        """
        row = await self._table.read(HEAD_KEY)
        if not row.value:
            return Head(), row
        return decode(row.value.encode(), Head), row

    async def read_catalogue(self, head):
        """Return the catalogue that a head names.

        Parameters
        ----------
        head : Head
            Version and digest.

        Returns
        -------
        Catalogue
            The catalogue; its digest was verified.

        Raises
        ------
        DigestMismatch
            If the object does not match the digest of the head.
        PlatformError
            If a read from the platform failed.
        """
        if head.version == 0:
            return Catalogue()
        return decode(await self.read_snapshot(head), Catalogue)

    async def read_snapshot(self, head):
        """Return the encoded catalogue that a head names.

        Parameters
        ----------
        head : Head
            Version and digest.

        Returns
        -------
        bytes
            Content whose digest was verified; decoding may still fail.

        Raises
        ------
        DigestMismatch
            If the object does not match the digest of the head.
        PlatformError
            If a read from the platform failed.
        """
        name = get_snapshot_name(head.version, head.digest)
        try:
            data = await self._objects.get(name)
        except ObjectNotFound:
            return encode(await self._rebuild_catalogue(head))
        if hashlib.sha256(data).hexdigest() != head.digest:
            raise DigestMismatch(name)
        return data

    async def _rebuild_catalogue(self, head):
        """Rebuild a catalogue whose snapshot is missing, from its parent and delta."""
        parent = await self.read_parent(head)
        name = get_snapshot_name(parent.version, parent.digest)
        old = Catalogue()
        if parent.version:
            old = decode(await self._objects.get(name), Catalogue)
        return apply_delta(old, compute_digest(old), await self.read_delta(head))

    async def read_parent(self, head):
        """Return the head of the version that a version was derived from.

        Parameters
        ----------
        head : Head
            Version and digest.

        Returns
        -------
        Head
            The preceding version; version 0 if there is none.

        Raises
        ------
        PlatformError
            If a read from the platform failed.
        """
        if head.version <= 1:
            return Head()
        change = await self.read_change(head.version)
        if change is None:
            raise ObjectNotFound(get_change_key(head.version))
        return Head(head.version - 1, change.parent_digest)

    async def read_delta(self, head):
        """Return the delta from the preceding version to a head.

        Parameters
        ----------
        head : Head
            Version and digest.

        Returns
        -------
        Delta
            The delta from the preceding version.
        """
        name = get_delta_name(head.version, head.digest)
        return decode(await self._objects.get(name), Delta)

    async def read_change(self, version):
        """Return the audit row of a version, None if there is none."""
        row = await self._table.read(get_change_key(version))
        if not row.value:
            return None
        return decode(row.value.encode(), Change)

    async def find_change(self, change_id):
        """Return the change with an id, None if it is not accepted.

        Parameters
        ----------
        change_id : str
            Identifier of the change.

        Returns
        -------
        Change or None
            The audit row.

        Raises
        ------
        PlatformError
            If a read from the platform failed.
        """
        row = await self._table.read(get_change_id_key(change_id))
        if not row.value:
            return None
        return await self.read_change(int(row.value))
