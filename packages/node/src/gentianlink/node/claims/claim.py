"""Durable claim of an idempotency key."""

import hashlib

import attrs

from gentianlink.node.claims.claim_state import ClaimState
from gentianlink.node.claims.recorded_answer import RecordedAnswer


@attrs.frozen
class Claim:
    """Content of a claim row: which attempt may execute a call, and the result.

    Attributes
    ----------
    digest : str
        Digest of the call.
    token : str
        Identifier of the attempt that wrote the row.
    node_id : str
        Node of the attempt.
    incarnation : int
        Incarnation of that node.
    claimed_ms : int
        Time of the claim on the clock of that node, in milliseconds since the epoch.
    state : ClaimState
        State of the work.
    answer : RecordedAnswer or None
        Answer to replay; set only in the state DONE.
    """

    digest: str
    token: str
    node_id: str
    incarnation: int
    claimed_ms: int
    state: ClaimState = ClaimState.CLAIMED
    answer: RecordedAnswer | None = None


def compute_call_digest(call):
    """Return the digest that distinguishes a repeat from another call with its key.

    Parameters
    ----------
    call : Call
        The call.

    Returns
    -------
    str
        SHA-256 over method, path with query, and body, in hexadecimal.
    """
    digest = hashlib.sha256()
    for part in (call.method.encode(), call.target.encode(), call.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
