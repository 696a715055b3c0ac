"""One call as a node handles it."""

import attrs
from tornado.httputil import HTTPHeaders

from gentianlink.node.proxy.request_body import RequestBody


@attrs.frozen
class Call:
    """A call, with its whole body unless that is streamed.

    Attributes
    ----------
    method : str
        HTTP method.
    target : str
        Path and query.
    headers : HTTPHeaders
        Headers of the caller.
    body : bytes
        Whole body of the call; empty if it is streamed.
    deadline_ms : float
        Deadline on the monotonic clock in milliseconds.
    key : str
        Idempotency key; empty if there is none.
    attempt : int
        Number of the attempt, from 1.
    caller : str
        Name of the caller, for fair sharing of limits and queues.
    stream : RequestBody or None
        Body that is forwarded while it arrives; None if ``body`` has all of it.
    caller_deadline_ms : float
        Time on the monotonic clock in milliseconds until which the caller waits; 0 if
        it is not known to be later than the deadline.
    """

    method: str
    target: str
    headers: HTTPHeaders
    body: bytes
    deadline_ms: float
    key: str = ""
    attempt: int = 1
    caller: str = ""
    stream: RequestBody | None = None
    caller_deadline_ms: float = 0.0

    @property
    def is_replayable(self):
        """Whether the call can be sent again from its beginning."""
        return self.stream is None or self.stream.is_replayable

    @property
    def path(self):
        """Path without the query."""
        return self.target.partition("?")[0]

    def get_remaining_ms(self, now_ms):
        """Return the time until the deadline in milliseconds.

        Parameters
        ----------
        now_ms : float
            Present time on the monotonic clock in milliseconds.

        Returns
        -------
        float
            Remaining time, negative after the deadline.
        """
        return self.deadline_ms - now_ms
