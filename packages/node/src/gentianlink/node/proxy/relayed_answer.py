"""State of an answer that is read from a target or node and sent to the caller."""

from tornado.httputil import HTTPMessageDelegate

from gentianlink.node.clock import get_monotonic_ms

FIRST_FINAL_STATUS = 200
STATUSES_WITHOUT_BODY = frozenset((204, 304))
# Bytes that are read only to use the connection again; a new one costs less than more.
MAX_SKIPPED_BYTES = 256 * 1024


class RelayedAnswer(HTTPMessageDelegate):
    """State of one answer: what has been received, and whether a write is pending.

    Parameters
    ----------
    writer : AnswerWriter
        Writes to the caller's connection.
    is_head : bool
        Whether the call has the method HEAD, so that no body follows.
    """

    def __init__(self, writer, is_head):
        self._writer = writer
        self._is_head = is_head
        self._on_finish = None
        self._on_stop = None
        self._is_cut_off = _is_never
        self._is_stopped = False
        self._skipped_bytes = 0
        self._is_abandoned = False
        self._is_writing = False
        self.last_progress_ms = 0.0
        self.reset()

    def reset(self):
        """Discard the state of an answer that belongs to another call."""
        self._status = 0
        self._headers = None
        self._is_finished = False
        self._has_length = True
        self._is_keep_alive = False

    @property
    def status(self):
        """Status of the answer; 0 before it began."""
        return self._status

    @property
    def headers(self):
        """Headers of the answer."""
        return self._headers

    @property
    def is_begun(self):
        """Whether the headers of the answer have arrived."""
        return self._headers is not None

    @property
    def is_finished(self):
        """Whether the whole answer has arrived."""
        return self._is_finished

    @property
    def is_keep_alive(self):
        """Whether the other end keeps the connection open for another exchange."""
        return self._is_keep_alive and self._has_length

    @property
    def is_abandoned(self):
        """Whether the relay has ended because the caller closed its connection."""
        return self._is_abandoned

    @property
    def is_writing(self):
        """Whether a write to the caller is pending."""
        return self._is_writing

    @property
    def is_stopped(self):
        """Whether the rest of the answer is not read, because it can't be used."""
        return self._is_stopped

    def set_stop_callback(self, callback):
        """Set the function to call when the rest of the answer is not to be read."""
        self._on_stop = callback

    def set_closed_check(self, is_closed):
        """Set the function that tells whether the answer's connection is closed."""
        self._is_cut_off = is_closed

    def set_finish_callback(self, callback):
        """Set the function to call when the whole answer has arrived."""
        self._on_finish = callback

    def headers_received(self, start_line, headers):
        """Store the status and headers; ignore those of interim answers (1xx)."""
        self.last_progress_ms = get_monotonic_ms()
        if start_line.code < FIRST_FINAL_STATUS:
            return
        self._status = start_line.code
        self._headers = headers
        self._has_length = (
            self._is_head
            or self._status in STATUSES_WITHOUT_BODY
            or "Content-Length" in headers
            or "Transfer-Encoding" in headers
        )
        self._is_keep_alive = headers.get("Connection", "").lower() != "close"
        self.classify()
        if self.is_bad:
            self._stop()

    def skip(self, chunk):
        """Discard a part of a body, and stop reading if there is too much of it."""
        self._skipped_bytes += len(chunk)
        if self._skipped_bytes > MAX_SKIPPED_BYTES:
            self._stop()

    def _stop(self):
        self._is_stopped = True
        if self._on_stop is not None:
            self._on_stop()

    def classify(self):
        """Classify the answer by its status and headers."""
        raise NotImplementedError

    def finish(self):
        """Record that the whole answer has arrived."""
        self._is_finished = True
        if self._on_finish is not None:
            self._on_finish()


def _is_never():
    return False
