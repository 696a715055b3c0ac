"""Conditional writes of claim rows, with lost answers resolved by token."""

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
MAX_ROUNDS = 3


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
            Claim with a token of its own.

        Returns
        -------
        HeldClaim or FoundClaim
            The right to execute, or what another attempt has written.

        Raises
        ------
        ClaimNotMade
            If this attempt has no claim and will never have one.
        ClaimUnresolved
            If this attempt may have a claim, now or later.
        """
        base_revision = ABSENT_REVISION
        for _ in range(MAX_ROUNDS):
            try:
                revision = await self._put(key, claim, base_revision)
                return HeldClaim(key, claim, revision)
            except WriteConflict:
                found, base_revision = await self._read_after_conflict(key)
            except PlatformUnavailable as error:
                raise ClaimNotMade(key) from error
            except PlatformError:
                return await self.resolve(key, claim, base_revision)
            if found is not None and not _may_claim_again(found, claim):
                return FoundClaim(found)
        raise ClaimNotMade(key)

    async def resolve(self, key, claim, base_revision):
        """Find out what became of a claim whose answer was lost.

        A row that is still at its old revision is fenced: it is written over, so
        that a claim which is still on its way can never take effect.

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
            The right to execute, or what another attempt has written.

        Raises
        ------
        ClaimNotMade
            If the claim can never take effect.
        ClaimUnresolved
            If it is still not known.
        """
        fence = attrs.evolve(claim, state=ClaimState.RELEASED)
        for _ in range(MAX_ROUNDS):
            try:
                found, revision = await self._read(key)
                if revision != base_revision:
                    return _get_resolved(key, claim, found, revision)
                await self._put(key, fence, base_revision)
            except WriteConflict:
                continue
            except PlatformError:
                continue
            raise ClaimNotMade(key)
        raise ClaimUnresolved(key, claim, base_revision)

    async def write_result(self, held, state, answer=None):
        """Write what became of the work of a held claim.

        Parameters
        ----------
        held : HeldClaim
            The claim; its holder writes one result, as often as it takes.
        state : ClaimState
            Result.
        answer : RecordedAnswer, optional
            Answer of work that is done.

        Raises
        ------
        PlatformError
            If the result may not have been written.
        """
        claim = attrs.evolve(held.claim, state=state, answer=answer)
        try:
            await self._put(held.key, claim, held.revision)
        except WriteConflict:
            # Only the holder writes over its claim: an earlier try took effect.
            return

    async def abandon(self, unresolved):
        """Give up a claim that was not resolved, so that the key is free again.

        Parameters
        ----------
        unresolved : ClaimUnresolved
            The claim.

        Raises
        ------
        PlatformError or ClaimUnresolved
            If this must be tried again.
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


def _may_claim_again(found, claim):
    return found.state is ClaimState.RELEASED and found.digest == claim.digest


def _get_resolved(key, claim, found, revision):
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
