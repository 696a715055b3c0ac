"""Fake of a node's admin port with canned answers."""

import orjson
from tornado.web import Application, RequestHandler

STATUS_NOT_FOUND = 404


class FakeAdmin:
    """Canned answers of an admin port.

    Parameters
    ----------
    answers : dict of str to object
        JSON values by path. The items of a list are the answers to consecutive
        requests; the last item is repeated.
    """

    def __init__(self, answers):
        self.answers = {"/healthz": {"alive": True}, **answers}

    def make_application(self):
        """Return the web application that serves the canned answers."""
        return Application([("/.*", _Handler, {"fake": self})], log_function=_ignore)

    def get_next_answer(self, path):
        """Return the next answer for a path, None if the path has no answers."""
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
        answer = self._fake.get_next_answer(self.request.path)
        if answer is None:
            self.set_status(STATUS_NOT_FOUND)
            return
        self.finish(orjson.dumps(answer))
