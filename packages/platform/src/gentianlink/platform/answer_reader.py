"""Read one answer of a service of the platform."""

from tornado.httputil import HTTPMessageDelegate

FIRST_FINAL_STATUS = 200
HEADER_OVERHEAD_BYTES = 4


class AnswerReader(HTTPMessageDelegate):
    """Gathers an answer; the end tells whether it arrived whole."""

    def __init__(self):
        self._chunks = []
        self._headers = None
        self._is_finished = False
        self.code = 0

    @property
    def has_begun(self):
        """Whether a part of the answer arrived."""
        return self._headers is not None

    @property
    def is_whole(self):
        """Whether all of an answer with a known length arrived."""
        if not self._is_finished or self._headers is None:
            return False
        return "Content-Length" in self._headers or "Transfer-Encoding" in self._headers

    @property
    def keeps_connection(self):
        """Whether the service keeps the connection open for another request."""
        return self._headers.get("Connection", "").lower() != "close"

    @property
    def body(self):
        """Body gathered so far."""
        return b"".join(self._chunks)

    @property
    def size_bytes(self):
        """Bytes of the headers and the body."""
        if self._headers is None:
            return 0
        pairs = self._headers.get_all()
        head = sum(
            len(name) + len(value) + HEADER_OVERHEAD_BYTES for name, value in pairs
        )
        return head + sum(len(chunk) for chunk in self._chunks)

    def headers_received(self, start_line, headers):
        """Take the status line and the headers."""
        if start_line.code >= FIRST_FINAL_STATUS:
            self.code = start_line.code
            self._headers = headers

    def data_received(self, chunk):
        """Take a part of the body."""
        self._chunks.append(chunk)

    def finish(self):
        """Note that the answer ended."""
        self._is_finished = True
