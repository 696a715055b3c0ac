"""The accepted catalogue on the platform: read it, and accept a change."""

import attrs

from gentianlink.core.catalogue import Catalogue
from gentianlink.core.change import Change
from gentianlink.core.codec import compute_digest, decode, encode
from gentianlink.core.delta import Delta
from gentianlink.core.errors import (
    CatalogueInvalid,
    DigestMismatch,
    PlatformOutcomeUnknown,
    WriteConflict,
)
from gentianlink.core.head import Head
from gentianlink.ops.delta import compute_delta, format_delta
from gentianlink.ops.validate_catalogue import validate_catalogue
from gentianlink.platform.names import (
    HEAD_KEY,
    get_change_id_key,
    get_change_key,
    get_delta_name,
    get_snapshot_name,
)


class CatalogueStore:
    """Catalogue versions kept by the table service and the object store.

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
        """Return the head and its row.

        Returns
        -------
        head : Head
            The version accepted last; version 0 if there is none.
        row : Row
            The row for a conditional write.
        """
        row = await self._table.read(HEAD_KEY)
        if not row.value:
            return Head(), row
        return decode(row.value.encode(), Head), row

    async def read_catalogue(self, head):
        """Return the whole catalogue of a head.

        Parameters
        ----------
        head : Head
            Version and digest.

        Returns
        -------
        Catalogue
            The catalogue, whose digest was checked.

        Raises
        ------
        DigestMismatch
            If the object is not what the head names.
        PlatformError
            If no answer came.
        """
        if head.version == 0:
            return Catalogue()
        name = get_snapshot_name(head.version, head.digest)
        catalogue = decode(await self._objects.get(name), Catalogue)
        if compute_digest(catalogue) != head.digest:
            raise DigestMismatch(name)
        return catalogue

    async def read_delta(self, head):
        """Return the delta that led to a head.

        Parameters
        ----------
        head : Head
            Version and digest.

        Returns
        -------
        Delta
            The delta from the version before.
        """
        name = get_delta_name(head.version, head.digest)
        return decode(await self._objects.get(name), Delta)

    async def read_change(self, version):
        """Return the audit row of a version, None if there is none."""
        row = await self._table.read(get_change_key(version))
        if not row.value:
            return None
        return decode(row.value.encode(), Change)

    async def accept(self, proposed, base, request, now_ms):
        """Accept a change: it becomes the next version, or nothing happens.

        Parameters
        ----------
        proposed : Catalogue
            Services and entries; the version is ignored.
        base : tuple of Head and Row
            Head that the operator's change was made against.
        request : ChangeRequest
            Who asks, why, and the change id.
        now_ms : int
            Present time in milliseconds since the epoch.

        Returns
        -------
        Change
            The audit row of the accepted version.

        Raises
        ------
        CatalogueInvalid
            If the catalogue has mistakes.
        WriteConflict
            If another change was accepted first.
        PlatformOutcomeUnknown
            If the change may have been accepted; the same request can be repeated.
        PlatformUnavailable
            If the change was not accepted.
        """
        head, row = base
        earlier = await self.find_change(request.change_id)
        if earlier is not None:
            return earlier
        problems = validate_catalogue(proposed, "proposed catalogue")
        if problems:
            raise CatalogueInvalid(problems)
        old = await self.read_catalogue(head)
        new = attrs.evolve(proposed, version=head.version + 1)
        change = _make_change(old, new, head, request, now_ms)
        await self._write_objects(old, new, change.digest)
        try:
            await self._write_head(change, row)
        except (PlatformOutcomeUnknown, WriteConflict):
            earlier = await self.find_change(request.change_id)
            if earlier is None:
                raise
            return earlier
        return change

    async def find_change(self, change_id):
        """Return the change with an id, None if it was not accepted.

        Parameters
        ----------
        change_id : str
            Identifier of the change.

        Returns
        -------
        Change or None
            The audit row.
        """
        row = await self._table.read(get_change_id_key(change_id))
        if not row.value:
            return None
        return await self.read_change(int(row.value))

    async def _write_objects(self, old, new, digest):
        delta = compute_delta(old, new)
        await self._objects.put(get_snapshot_name(new.version, digest), encode(new))
        await self._objects.put(get_delta_name(new.version, digest), encode(delta))

    async def _write_head(self, change, row):
        head = Head(change.version, change.digest, change.change_id)
        puts = [
            (HEAD_KEY, encode(head).decode()),
            (get_change_key(change.version), encode(change).decode()),
            (get_change_id_key(change.change_id), str(change.version)),
        ]
        await self._table.transact(puts, checks=[row])


def _make_change(old, new, head, request, now_ms):
    return Change(
        version=new.version,
        digest=compute_digest(new),
        parent_digest=head.digest,
        change_id=request.change_id,
        who=request.who,
        when_ms=now_ms,
        why=request.why,
        difference=format_delta(old, new),
    )
