"""One call as a node handles it."""

import attrs
from tornado.httputil import HTTPHeaders


@attrs.frozen
class Call:
    """A call that was read whole.

    Attributes
    ----------
    method : str
        HTTP method.
    target : str
        Path and query.
    headers : HTTPHeaders
        Headers of the caller.
    body : bytes
        Body of the call.
    deadline_ms : float
        Deadline on the monotonic clock in milliseconds.
    key : str
        Idempotency key; empty if there is none.
    attempt : int
        Number of the attempt, from 1.
    """

    method: str
    target: str
    headers: HTTPHeaders
    body: bytes
    deadline_ms: float
    key: str = ""
    attempt: int = 1

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
