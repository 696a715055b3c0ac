"""Limits of a catalogue entry."""

import attrs


@attrs.frozen
class Limits:
    """Limits that a node enforces for the calls of one entry.

    Attributes
    ----------
    rate : float
        Calls per second that each node admits; 0 for no limit.
    concurrency : int
        Calls that each node may have in flight; 0 for no limit.
    queue : int
        Calls that may wait for a slot of a target, at the target's node.
    deadline_ms : int
        Default deadline in milliseconds, for calls without one.
    retries : int
        Attempts after the first one.
    body_max_bytes : int
        Largest request body in bytes.
    """

    rate: float = 0.0
    concurrency: int = 0
    queue: int = 20
    deadline_ms: int = 1000
    retries: int = 1
    body_max_bytes: int = 1_048_576
