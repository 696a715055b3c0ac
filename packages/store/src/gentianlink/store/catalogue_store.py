"""Atomic acceptance of changes to the catalogue."""

import attrs

from gentianlink.core.change import Change
from gentianlink.core.codec import compute_digest, encode
from gentianlink.core.errors import (
    CatalogueError,
    CatalogueInvalid,
    ChangeConflict,
    ChangeIdReused,
    ChangeNotAccepted,
    ChangeOutcomeUnknown,
    CodecError,
    PlatformError,
    PlatformOutcomeUnknown,
    PlatformUnavailable,
    WriteConflict,
)
from gentianlink.core.head import Head
from gentianlink.core.row import Row
from gentianlink.ops.delta import compute_delta, format_delta
from gentianlink.ops.validate_catalogue import validate_catalogue
from gentianlink.store.catalogue_reader import CatalogueReader
from gentianlink.store.names import (
    HEAD_KEY,
    get_change_id_key,
    get_change_key,
    get_delta_name,
    get_snapshot_name,
)

COMMIT_ATTEMPTS = 2
MAX_CHANGES_SHOWN = 50


class CatalogueStore(CatalogueReader):
    """Reads accepted versions and accepts new ones."""

    async def accept(self, proposed, base, request, now_ms):
        """Commit a change as the next version; commit all of it or nothing.

        Parameters
        ----------
        proposed : Catalogue
            Services and entries; the version is ignored.
        base : tuple of Head and Row
            Head that the change is based on, and the row that contains it.
        request : ChangeRequest
            Change id, operator and reason.
        now_ms : int
            Current time in milliseconds since the Unix epoch.

        Returns
        -------
        Change
            The audit row of the accepted version.

        Raises
        ------
        CatalogueInvalid
            If the proposed catalogue is invalid.
        ChangeIdReused
            If a change with this id but other content was accepted.
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
            raise _make_failure(request) from error
        if earlier is None:
            return await self._commit(change, base, request)
        return _check_same_content(earlier, proposed)

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
        # Every attempt is conditional on the same revision of the head, so at most
        # one takes effect, even if the platform executes an earlier attempt late.
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
            accepted = await self._find_accepted(change)
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

    async def _find_accepted(self, change):
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


def _make_failure(request):
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
