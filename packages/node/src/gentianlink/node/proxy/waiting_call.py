"""A call in the queue of a gate."""

import asyncio

import attrs


@attrs.define(eq=False)
class WaitingCall:
    """A queued call and the result of its wait for a slot.

    Attributes
    ----------
    result : asyncio.Future
        Result of the wait: None for a slot, else a Refusal.
    deadline_ms : float
        Deadline on the monotonic clock in milliseconds.
    owner : str
        Owner of the entry.
    caller : str
        Name of the caller.
    work_ms : float
        Mean time of this kind of work in milliseconds.
    """

    result: asyncio.Future
    deadline_ms: float
    owner: str
    caller: str
    work_ms: float
