"""Record of one execution as its target observed it."""

import attrs


@attrs.frozen
class ExecutionRecord:
    """One execution at a target.

    Attributes
    ----------
    target_id : str
        Name of the target.
    request_id : str
        Identifier of the submission that was executed.
    key : str
        Idempotency key; empty if there is none.
    path : str
        Path of the call.
    started_ms : int
        Start in milliseconds since the epoch.
    ended_ms : int
        End in milliseconds since the epoch; 0 if the execution did not end.
    """

    target_id: str
    request_id: str
    key: str
    path: str
    started_ms: int
    ended_ms: int
