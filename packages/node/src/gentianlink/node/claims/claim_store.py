"""Claims of idempotency keys through the table service, one write for each call."""

import hashlib

import attrs

from gentianlink.core.codec import decode, encode
from gentianlink.core.errors import (
    PlatformOutcomeUnknown,
    PlatformUnavailable,
    WriteConflict,
)
from gentianlink.core.outcome import Outcome
from gentianlink.core.reason import Reason
from gentianlink.node.claims.claim import Claim
from gentianlink.node.proxy.refusal import Refusal
from gentianlink.platform.row import Row

CLAIM_PREFIX = "claim/"
RETRY_AFTER_MS = 500


class ClaimStore:
    """Claims that outlive instances and are seen by every node.

    Parameters
    ----------
    table : TableClient
        The table service.
    own_record : NodeRecord
        Record of this node.
    """

    def __init__(self, table, own_record):
        self._table = table
        self._own_record = own_record

    async def claim(self, entry, call):
        """Claim a key before its work is executed.

        Parameters
        ----------
        entry : Entry
            Entry of the call.
        call : Call
            The call.

        Returns
        -------
        claim : Claim
            The claim, own or found.
        refusal : Refusal or None
            None if this node may execute the call.
        """
        digest = hashlib.sha256(call.body).hexdigest()
        own = self._own_record
        claim = Claim(call.key, entry.name, digest, own.node_id, own.incarnation)
        row = Row(get_claim_key(claim), 0, "")
        try:
            await self._table.transact([(row.key, encode(claim).decode())], [row])
        except WriteConflict:
            return await self._examine(claim, row.key)
        except PlatformUnavailable:
            return claim, Refusal(
                Reason.STORE_UNAVAILABLE, retry_after_ms=RETRY_AFTER_MS
            )
        except PlatformOutcomeUnknown:
            return claim, Refusal(
                Reason.STORE_UNAVAILABLE, retry_after_ms=RETRY_AFTER_MS
            )
        return claim, None

    async def _examine(self, claim, key):
        try:
            row = await self._table.read(key)
        except PlatformOutcomeUnknown:
            return claim, Refusal(Reason.STORE_UNAVAILABLE, Outcome.UNKNOWN)
        except PlatformUnavailable:
            return claim, Refusal(Reason.STORE_UNAVAILABLE, Outcome.UNKNOWN)
        found = decode(row.value.encode(), Claim)
        if found.body_digest != claim.body_digest:
            return found, Refusal(Reason.KEY_REUSED)
        if found.state == "done":
            return found, Refusal(Reason.KEY_IN_PROGRESS, Outcome.DONE)
        return found, Refusal(Reason.KEY_IN_PROGRESS, Outcome.UNKNOWN, RETRY_AFTER_MS)

    async def record_done(self, claim, status, body):
        """Record the outcome of a claimed call.

        Parameters
        ----------
        claim : Claim
            The claim.
        status : int
            Status of the answer.
        body : bytes
            Body of the answer, if it was small.
        """
        done = attrs.evolve(
            claim, state="done", status=status, body=body.decode("latin-1")
        )
        try:
            await self._table.transact([(get_claim_key(claim), encode(done).decode())])
        except (PlatformOutcomeUnknown, PlatformUnavailable):
            return


def get_claim_key(claim):
    """Return the key of a claim's row."""
    return f"{CLAIM_PREFIX}{claim.entry}/{claim.key}"
