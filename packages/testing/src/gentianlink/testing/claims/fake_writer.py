"""Stand-in of the writer that sends an answer to a caller."""


class FakeWriter:
    """Writer that records the answer in a Submission."""

    def __init__(self, submission):
        self._submission = submission
        self.is_started = False

    async def start(self, status, headers, chunk=b""):
        """Record the status, the headers and the first chunk."""
        self.is_started = True
        self._submission.status = status
        self._submission.headers = headers
        self._submission.answer = chunk

    async def write(self, chunk):
        """Record a further chunk."""
        self._submission.answer += chunk

    def finish(self):
        """Do nothing; the answer is complete."""
