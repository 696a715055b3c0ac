"""Reader for one HTTP answer of a platform service."""

from tornado.httputil import HTTPMessageDelegate

FIRST_FINAL_STATUS = 200
# Separator and line end of a header.
HEADER_OVERHEAD_BYTES = 4


class AnswerReader(HTTPMessageDelegate):
    """Collects an answer and detects whether it arrived completely."""

    def __init__(self):
        self._chunks = []
        self._headers = None
        self._is_finished = False
        self.code = 0

    @property
    def has_begun(self):
        """Whether the headers of the answer arrived."""
        return self._headers is not None

    @property
    def is_complete(self):
        """Whether the answer arrived completely.

        An answer with neither ``Content-Length`` nor ``Transfer-Encoding`` ends with
        the connection. Truncation could not be detected, so it counts as incomplete.
        """
        if not self._is_finished or self._headers is None:
            return False
        return "Content-Length" in self._headers or "Transfer-Encoding" in self._headers

    @property
    def keeps_connection(self):
        """Whether the service keeps the connection open for another request."""
        return self._headers.get("Connection", "").lower() != "close"

    @property
    def headers(self):
        """Headers of the answer, None before they arrived."""
        return self._headers

    @property
    def body(self):
        """Body received so far."""
        return b"".join(self._chunks)

    @property
    def size_bytes(self):
        """Size of the headers and the body in bytes."""
        if self._headers is None:
            return 0
        pairs = self._headers.get_all()
        head = sum(
            len(name) + len(value) + HEADER_OVERHEAD_BYTES for name, value in pairs
        )
        return head + sum(len(chunk) for chunk in self._chunks)

    def headers_received(self, start_line, headers):
        """Store the status and headers of the final answer."""
        if start_line.code >= FIRST_FINAL_STATUS:
            self.code = start_line.code
            self._headers = headers

    def data_received(self, chunk):
        """Append a part of the body."""
        self._chunks.append(chunk)

    def finish(self):
        """Record the end of the answer."""
        self._is_finished = True
