"""Claim keys within the deadlines of calls; release late claims in the background."""

import asyncio
import functools

from gentianlink.node.claims.claim_state import ClaimState
from gentianlink.node.claims.errors import ClaimNotMade, ClaimTimeout, ClaimUnresolved
from gentianlink.node.claims.found_claim import FoundClaim
from gentianlink.node.claims.retention import get_claim_key
from gentianlink.node.clock import get_monotonic_ms


async def wait_until_done(task, timeout_ms):
    """Wait for a task with a timeout that does not cancel it.

    Parameters
    ----------
    task : asyncio.Task
        The task.
    timeout_ms : float
        Timeout in milliseconds.

    Returns
    -------
    bool
        Whether the task is done; False after a timeout.
    """
    done, _ = await asyncio.wait({task}, timeout=timeout_ms / 1000)
    return bool(done)


class ClaimAcquirer:
    """Claims keys with the deadline of the call as timeout.

    If a claim times out or stays unresolved, the settler resolves it in the background
    and releases it if it was made after all.

    Parameters
    ----------
    table : ClaimTable
        Claim rows.
    settler : Settler
        Retries writes in the background.
    wait_until_done : callable, optional
        Coroutine function that waits for a task with a timeout.
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
            Claim with a token that no other attempt uses.

        Returns
        -------
        HeldClaim or FoundClaim
            The right to execute, or the claim of another attempt.

        Raises
        ------
        ClaimNotMade
            If this attempt has no claim and will never have one.
        ClaimUnresolved or ClaimTimeout
            If this attempt may have a claim until the settler has released it.
        """
        work = self._table.acquire(get_claim_key(call.key), claim)
        task = asyncio.get_running_loop().create_task(work)
        remaining_ms = max(0.0, call.get_remaining_ms(get_monotonic_ms()))
        if not await self._wait_until_done(task, remaining_ms):
            self._settler.start(functools.partial(self._release_late, task))
            raise ClaimTimeout(call.key)
        try:
            return task.result()
        except ClaimUnresolved as unresolved:
            self._settler.start(functools.partial(self._table.abandon, unresolved))
            raise

    async def _release_late(self, task):
        try:
            result = await asyncio.shield(task)
        except ClaimNotMade:
            return
        except ClaimUnresolved as unresolved:
            await self._table.abandon(unresolved)
            return
        if not isinstance(result, FoundClaim):
            await self._table.write_result(result, ClaimState.RELEASED)
