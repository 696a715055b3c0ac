"""Read a call sent by a caller or forwarded by another node."""

from gentianlink.core.field_checks import check_number
from gentianlink.node.proxy.answer_writer import strip_headers
from gentianlink.node.proxy.call import Call
from gentianlink.node.proxy.call_reader import CallReader
from gentianlink.platform import wire

HEADERS_NOT_FORWARDED = frozenset(("Expect",))
# A body up to this size is buffered whole while the server's budget lasts: until it is
# complete it holds no slot of a target, and the call can go to another target.
WHOLE_BODY_BYTES = 512 * 1024
# A week; estimates that compare the times that callers allow stay exact.
MAX_WAIT_MS = 6e8


class SidecarCallReader(CallReader):
    """Reads one call that carries the platform's headers."""

    @property
    def started_ms(self):
        """Time at which the headers arrived, on the monotonic clock in milliseconds."""
        return self._started_ms

    @property
    def remote_address(self):
        """IP address of the caller."""
        return self._remote_address

    @property
    def request_id(self):
        """Id of the call, empty if it has none."""
        return self.headers.get(wire.REQUEST_ID, "")

    def make_bounded_call(self, deadline_ms, caller_deadline_ms=0.0):
        """Return the call that was read, with the headers that are forwarded.

        Parameters
        ----------
        deadline_ms : float
            Deadline on the monotonic clock in milliseconds.
        caller_deadline_ms : float, optional
            Time until which the caller waits, if that is known.

        Returns
        -------
        Call
            The call.
        """
        headers = self.headers
        body = self._take_body()
        strip_headers(headers, HEADERS_NOT_FORWARDED)
        if body:
            headers["Content-Length"] = str(len(body))
        return Call(
            method=self.start_line.method,
            target=self.start_line.path,
            headers=headers,
            body=body,
            deadline_ms=deadline_ms,
            stream=self._stream,
            caller_deadline_ms=caller_deadline_ms,
        )


def parse_deadline_ms(headers):
    """Return the time that the sender of a call allows for the answer.

    Parameters
    ----------
    headers : HTTPHeaders
        Headers of the call.

    Returns
    -------
    float or None
        Time in milliseconds, None if the header is missing or malformed.
    """
    try:
        return check_number(float(headers.get(wire.DEADLINE_MS, "")), most=MAX_WAIT_MS)
    except ValueError:
        return None
