"""Record of one call as its caller observed it."""

import attrs


@attrs.frozen
class CallRecord:
    """One submission and its answer.

    Attributes
    ----------
    request_id : str
        Identifier of the submission, unique for each one.
    path : str
        Path of the call.
    key : str
        Idempotency key, shared by repeated submissions; empty if there is none.
    node_id : str
        Node that the call was sent to.
    sent_ms : int
        Time at which the call was sent, in milliseconds since the epoch.
    ended_ms : int
        Time at which the answer or the failure was observed.
    status : int
        HTTP status; 0 if the connection ended before the answer was complete.
    outcome : str
        Outcome header; empty if there was none.
    echo : str
        Submission identifier that the target echoed in the answer; empty if there was
        none.
    version : int
        Catalogue version that the answer names; 0 if none.
    replayed : bool
        Whether the answer is the recorded one of an earlier submission.
    reason : str
        Reason header; empty if there was none.
    """

    request_id: str
    path: str
    key: str
    node_id: str
    sent_ms: int
    ended_ms: int
    status: int
    outcome: str
    echo: str
    version: int = 0
    replayed: bool = False
    reason: str = ""
