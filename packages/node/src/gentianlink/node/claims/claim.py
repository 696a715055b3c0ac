"""A durable claim of an idempotency key."""

import attrs


@attrs.frozen
class Claim:
    """Row that shows who may execute the work of a key.

    Attributes
    ----------
    key : str
        Idempotency key.
    entry : str
        Entry of the catalogue.
    body_digest : str
        Digest of the call's body.
    node_id : str
        Node that claimed the key.
    incarnation : int
        Incarnation of that node.
    state : str
        ``claimed``, ``released`` (not run) or ``done``.
    status : int
        Status of the recorded answer; 0 before there is one.
    body : str
        Recorded answer in Latin-1, if it was small.
    """

    key: str
    entry: str
    body_digest: str
    node_id: str
    incarnation: int
    state: str = "claimed"
    status: int = 0
    body: str = ""
