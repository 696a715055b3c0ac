"""A durable claim of an idempotency key."""

import hashlib

import attrs

from gentianlink.node.claims.claim_state import ClaimState
from gentianlink.node.claims.recorded_answer import RecordedAnswer


@attrs.frozen
class Claim:
    """Content of a claim row: who may execute the work of a key, and what came of it.

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
        Wall clock of that node in milliseconds since the epoch.
    state : ClaimState
        What became of the work.
    answer : RecordedAnswer or None
        Answer of work that is done.
    """

    digest: str
    token: str
    node_id: str
    incarnation: int
    claimed_ms: int
    state: ClaimState = ClaimState.CLAIMED
    answer: RecordedAnswer | None = None


def compute_call_digest(call):
    """Return the digest that tells a repeat from another call with the same key.

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
