"""A fake of a node's admin port with answers that a test chooses."""

import orjson
from tornado.web import Application, RequestHandler

STATUS_NOT_FOUND = 404


class FakeAdmin:
    """Answers by path; a list gives one answer after another, then the last again."""

    def __init__(self, answers):
        self.answers = {"/healthz": {"alive": True}, **answers}

    def make_application(self):
        """Return the application of the fake."""
        return Application([("/.*", _Handler, {"fake": self})], log_function=_ignore)

    def take(self, path):
        """Return the next answer for a path, None if there is none."""
        answer = self.answers.get(path)
        if isinstance(answer, list):
            return answer.pop(0) if len(answer) > 1 else answer[0]
        return answer


def _ignore(handler):
    pass


class _Handler(RequestHandler):
    def initialize(self, fake):
        self._fake = fake

    def get(self):
        answer = self._fake.take(self.request.path)
        if answer is None:
            self.set_status(STATUS_NOT_FOUND)
            return
        self.finish(orjson.dumps(answer))
