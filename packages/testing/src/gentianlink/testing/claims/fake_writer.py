"""The caller's side of an exchange."""


class FakeWriter:
    """The caller's side of an exchange."""

    def __init__(self, submission):
        self._submission = submission
        self.is_started = False

    async def start(self, status, headers, chunk=b""):
        """Take the start of an answer."""
        self.is_started = True
        self._submission.status = status
        self._submission.headers = headers
        self._submission.answer = chunk

    async def write(self, chunk):
        """Take a part of an answer."""
        self._submission.answer += chunk

    def finish(self):
        """Take the end of an answer."""
