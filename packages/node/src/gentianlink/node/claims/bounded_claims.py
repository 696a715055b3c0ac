"""Claim keys within the deadlines of calls, and settle what is left behind."""

import asyncio
import functools

from gentianlink.node.claims.claim_state import ClaimState
from gentianlink.node.claims.errors import ClaimNotMade, ClaimTooLate, ClaimUnresolved
from gentianlink.node.claims.found_claim import FoundClaim
from gentianlink.node.claims.retention import get_claim_key
from gentianlink.node.clock import get_monotonic_ms


async def wait_until_done(task, timeout_ms):
    """Wait for a task without cancelling it.

    Parameters
    ----------
    task : asyncio.Task
        The task.
    timeout_ms : float
        Bound in milliseconds.

    Returns
    -------
    bool
        False if the bound passed first.
    """
    done, _ = await asyncio.wait({task}, timeout=timeout_ms / 1000)
    return bool(done)


class BoundedClaims:
    """Claims that end with the deadline of their call.

    A claim that is late or unresolved is settled in the background: it is released
    if it turns out to have been made.

    Parameters
    ----------
    table : ClaimTable
        Claim rows.
    settler : Settler
        Retries writes in the background.
    wait_until_done : callable, optional
        Coroutine function that waits for a task, within a bound.
    """

    def __init__(self, table, settler, wait_until_done=wait_until_done):
        self._table = table
        self._settler = settler
        self._wait_until_done = wait_until_done

    async def acquire(self, call, claim):
        """Claim the key of a call.

        Parameters
        ----------
        call : Call
            The call.
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
        ClaimUnresolved or ClaimTooLate
            If this attempt may have a claim for a while.
        """
        work = self._table.acquire(get_claim_key(call.key), claim)
        task = asyncio.get_running_loop().create_task(work)
        remaining_ms = max(0.0, call.get_remaining_ms(get_monotonic_ms()))
        if not await self._wait_until_done(task, remaining_ms):
            self._settler.start(functools.partial(self._give_up, task))
            raise ClaimTooLate(call.key)
        try:
            return task.result()
        except ClaimUnresolved as unresolved:
            self._settler.start(functools.partial(self._table.abandon, unresolved))
            raise

    async def _give_up(self, acquiring):
        try:
            result = await asyncio.shield(acquiring)
        except ClaimNotMade:
            return
        except ClaimUnresolved as unresolved:
            await self._table.abandon(unresolved)
            return
        if not isinstance(result, FoundClaim):
            await self._table.write_result(result, ClaimState.RELEASED)
