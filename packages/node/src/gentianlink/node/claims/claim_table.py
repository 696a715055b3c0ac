"""Conditional writes of claim rows.

If the answer to a write was lost, the token in the row shows whose write took effect.
"""

import attrs

from gentianlink.core.codec import decode, encode
from gentianlink.core.errors import (
    CodecError,
    PlatformError,
    PlatformUnavailable,
    WriteConflict,
)
from gentianlink.node.claims.claim import Claim
from gentianlink.node.claims.claim_state import ClaimState
from gentianlink.node.claims.errors import ClaimNotMade, ClaimUnresolved
from gentianlink.node.claims.found_claim import FoundClaim
from gentianlink.node.claims.held_claim import HeldClaim

ABSENT_REVISION = 0
MAX_TRIES = 3


class ClaimTable:
    """Claim rows of the table service.

    Parameters
    ----------
    table : TableClient
        Reads rows.
    writer : DirectWriter or GroupWriter
        Writes rows.
    """

    def __init__(self, table, writer):
        self._table = table
        self._writer = writer

    async def acquire(self, key, claim):
        """Claim a key, if no other attempt has claimed it.

        Parameters
        ----------
        key : str
            Key of the row.
        claim : Claim
            Claim with a token that no other attempt uses.

        Returns
        -------
        HeldClaim or FoundClaim
            The right to execute, or the claim of another attempt.

        Raises
        ------
        ClaimNotMade
            If this attempt has no claim and will never have one.
        ClaimUnresolved
            If this attempt may have a claim, or may still get one.
        """
        base_revision = ABSENT_REVISION
        for _ in range(MAX_TRIES):
            try:
                revision = await self._put(key, claim, base_revision)
                return HeldClaim(key, claim, revision)
            except WriteConflict:
                found, base_revision = await self._read_after_conflict(key)
            except PlatformUnavailable as error:
                raise ClaimNotMade(key) from error
            except PlatformError:
                return await self.resolve(key, claim, base_revision)
            if found is not None and not _is_reclaimable(found, claim):
                return FoundClaim(found)
        raise ClaimNotMade(key)

    async def resolve(self, key, claim, base_revision):
        """Determine whether the write of a claim whose answer was lost took effect.

        A row that is still at `base_revision` is fenced: a released claim is written
        there, so that a delayed write of the claim fails its revision check.

        Parameters
        ----------
        key : str
            Key of the row.
        claim : Claim
            The claim that was written.
        base_revision : int
            Revision that the write was conditional on.

        Returns
        -------
        HeldClaim or FoundClaim
            The right to execute, or the claim of another attempt.

        Raises
        ------
        ClaimNotMade
            If the claim can never take effect.
        ClaimUnresolved
            If that is still unknown after ``MAX_TRIES`` tries.
        """
        fence = attrs.evolve(claim, state=ClaimState.RELEASED)
        for _ in range(MAX_TRIES):
            try:
                found, revision = await self._read(key)
                if revision != base_revision:
                    return _resolve_row(key, claim, found, revision)
                await self._put(key, fence, base_revision)
            except WriteConflict:
                continue
            except PlatformError:
                continue
            raise ClaimNotMade(key)
        raise ClaimUnresolved(key, claim, base_revision)

    async def write_result(self, held, state, answer=None):
        """Write the result of the work of a held claim.

        Parameters
        ----------
        held : HeldClaim
            The claim; its holder writes one result, and may retry that write.
        state : ClaimState
            Result.
        answer : RecordedAnswer, optional
            Answer to replay, for the state DONE.

        Raises
        ------
        PlatformError
            If the result may not have been written.
        """
        claim = attrs.evolve(held.claim, state=state, answer=answer)
        try:
            await self._put(held.key, claim, held.revision)
        except WriteConflict:
            # Only the holder overwrites its claim, so an earlier try took effect.
            return

    async def abandon(self, unresolved):
        """Release a claim that was not resolved, so that the key can be claimed again.

        Parameters
        ----------
        unresolved : ClaimUnresolved
            The claim.

        Raises
        ------
        PlatformError or ClaimUnresolved
            If the release must be retried.
        """
        try:
            result = await self.resolve(
                unresolved.key, unresolved.claim, unresolved.base_revision
            )
        except ClaimNotMade:
            return
        if isinstance(result, HeldClaim):
            await self.write_result(result, ClaimState.RELEASED)

    async def _read_after_conflict(self, key):
        try:
            return await self._read(key)
        except PlatformError as error:
            raise ClaimNotMade(key) from error

    async def _read(self, key):
        row = await self._table.read(key)
        if row.revision == ABSENT_REVISION:
            return None, ABSENT_REVISION
        return _decode_claim(row), row.revision

    async def _put(self, key, claim, revision):
        return await self._writer.put(key, encode(claim).decode(), revision)


def _is_reclaimable(found, claim):
    return found.state is ClaimState.RELEASED and found.digest == claim.digest


def _resolve_row(key, claim, found, revision):
    if found is None or found.state is ClaimState.RELEASED:
        raise ClaimNotMade(key)
    if found.token == claim.token:
        return HeldClaim(key, claim, revision)
    return FoundClaim(found)


def _decode_claim(row):
    try:
        return decode(row.value.encode(), Claim)
    except CodecError:
        return Claim("", "", "", 0, 0, ClaimState.UNKNOWN)
