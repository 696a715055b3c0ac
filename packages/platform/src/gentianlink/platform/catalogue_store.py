"""The accepted catalogue on the platform: read it, and accept a change."""

import hashlib

import attrs

from gentianlink.core.catalogue import Catalogue
from gentianlink.core.change import Change
from gentianlink.core.codec import compute_digest, decode, encode
from gentianlink.core.delta import Delta
from gentianlink.core.errors import (
    CatalogueError,
    CatalogueInvalid,
    ChangeConflict,
    ChangeIdReused,
    ChangeNotAccepted,
    ChangeOutcomeUnknown,
    CodecError,
    DigestMismatch,
    ObjectNotFound,
    PlatformError,
    PlatformOutcomeUnknown,
    PlatformUnavailable,
    WriteConflict,
)
from gentianlink.core.head import Head
from gentianlink.ops.delta import apply_delta, compute_delta, format_delta
from gentianlink.ops.validate_catalogue import validate_catalogue
from gentianlink.platform.names import (
    HEAD_KEY,
    get_change_id_key,
    get_change_key,
    get_delta_name,
    get_snapshot_name,
)
from gentianlink.platform.row import Row

COMMIT_ATTEMPTS = 2
MAX_CHANGES_SHOWN = 50


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
        return decode(await self.read_snapshot(head), Catalogue)

    async def read_snapshot(self, head):
        """Return the encoded catalogue of a head.

        Parameters
        ----------
        head : Head
            Version and digest.

        Returns
        -------
        bytes
            Content whose digest was checked; it may still not decode.

        Raises
        ------
        DigestMismatch
            If the object is not what the head names.
        PlatformError
            If no answer came.
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
        """Return a catalogue whose snapshot is missing, from the version before."""
        parent = await self.read_parent(head)
        name = get_snapshot_name(parent.version, parent.digest)
        old = Catalogue()
        if parent.version:
            old = decode(await self._objects.get(name), Catalogue)
        return apply_delta(old, compute_digest(old), await self.read_delta(head))

    async def read_parent(self, head):
        """Return the head that a version was made against.

        Parameters
        ----------
        head : Head
            Version and digest.

        Returns
        -------
        Head
            The version before; version 0 if there is none.

        Raises
        ------
        PlatformError
            If no answer came.
        """
        if head.version <= 1:
            return Head()
        change = await self.read_change(head.version)
        if change is None:
            raise ObjectNotFound(get_change_key(head.version))
        return Head(head.version - 1, change.parent_digest)

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
        ChangeIdReused
            If the change id was accepted with other content.
        ChangeConflict
            If another change was accepted first.
        ChangeNotAccepted
            If the platform failed and the change was not accepted.
        ChangeOutcomeUnknown
            If the change may have been accepted; the same request can be repeated.
        """
        problems = validate_catalogue(proposed, "proposed catalogue")
        if problems:
            raise CatalogueInvalid(problems)
        try:
            earlier = await self.find_change(request.change_id)
            if earlier is None:
                change = await self._prepare(proposed, base, request, now_ms)
        except (PlatformError, CatalogueError, CodecError) as error:
            raise _describe_failure(request) from error
        if earlier is None:
            return await self._commit(change, base, request)
        return _check_same_content(earlier, proposed)

    async def find_change(self, change_id):
        """Return the change with an id, None if it was not accepted so far.

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
            If no answer came.
        """
        row = await self._table.read(get_change_id_key(change_id))
        if not row.value:
            return None
        return await self.read_change(int(row.value))

    async def _prepare(self, proposed, base, request, now_ms):
        head, _ = base
        old = await self.read_catalogue(head)
        new = attrs.evolve(proposed, version=head.version + 1)
        change = _make_change(old, new, head, request, now_ms)
        delta = compute_delta(old, new)
        name = get_snapshot_name(new.version, change.digest)
        await self._objects.put(name, encode(new))
        name = get_delta_name(new.version, change.digest)
        await self._objects.put(name, encode(delta))
        return change

    async def _commit(self, change, base, request):
        # Every attempt checks the same revision of the head, so at most one of them
        # takes effect, whenever the platform gets to it.
        is_in_doubt = request.is_repeat
        for _ in range(COMMIT_ATTEMPTS):
            try:
                await self._write_head(change, base[1])
                return change
            except WriteConflict as conflict:
                return await self._resolve_conflict(conflict, change, base, is_in_doubt)
            except PlatformUnavailable as error:
                if not is_in_doubt:
                    raise ChangeNotAccepted(str(error)) from error
            except PlatformOutcomeUnknown:
                is_in_doubt = True
            accepted = await self._read_back(change)
            if accepted is not None:
                return accepted
        raise ChangeOutcomeUnknown(change.change_id)

    async def _resolve_conflict(self, conflict, change, base, is_in_doubt):
        try:
            accepted = await self.find_change(change.change_id)
        except (PlatformError, CodecError) as error:
            if is_in_doubt:
                raise ChangeOutcomeUnknown(change.change_id) from error
            raise ChangeConflict(conflict, None) from error
        if accepted is not None:
            return accepted
        raise ChangeConflict(conflict, await self._read_changes_since(base[0]))

    async def _read_back(self, change):
        try:
            return await self.find_change(change.change_id)
        except (PlatformError, CodecError):
            return None

    async def _read_changes_since(self, head):
        changes = []
        try:
            current, _ = await self.read_head()
            first = max(head.version, current.version - MAX_CHANGES_SHOWN) + 1
            for version in range(first, current.version + 1):
                changes.append(await self.read_change(version))
        except (PlatformError, CodecError):
            return None
        return tuple(changes)

    async def _write_head(self, change, row):
        head = Head(
            change.version, change.digest, change.change_id, when_ms=change.when_ms
        )
        change_id_key = get_change_id_key(change.change_id)
        puts = [
            (HEAD_KEY, encode(head).decode()),
            (get_change_key(change.version), encode(change).decode()),
            (change_id_key, str(change.version)),
        ]
        await self._table.transact(puts, checks=[row, Row(change_id_key, 0, "")])


def _describe_failure(request):
    if request.is_repeat:
        return ChangeOutcomeUnknown(request.change_id)
    return ChangeNotAccepted("the platform failed before the head was written")


def _check_same_content(change, proposed):
    content = attrs.evolve(proposed, version=change.version)
    if compute_digest(content) != change.digest:
        raise ChangeIdReused(change)
    return change


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
