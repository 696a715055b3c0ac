"""One call as its caller sees it."""

import attrs
from tornado.httputil import HTTPHeaders

from gentianlink.core import headers as names
from gentianlink.core.outcome import Outcome
from gentianlink.core.reason import Reason
from gentianlink.node.proxy.request_body import RequestBody


@attrs.define(eq=False)
class Submission:
    """One call as its caller sees it."""

    number: int
    node_id: str
    key: str
    body: bytes
    deadline_ms: float
    stream: RequestBody | None = None
    status: int = 0
    headers: HTTPHeaders = attrs.field(factory=HTTPHeaders)
    answer: bytes = b""
    outcome: Outcome | None = None
    reason: Reason | None = None
    executions_when_told: int = 0

    @property
    def is_replay(self):
        """Whether the answer is a recorded one."""
        return self.headers.get(names.REPLAY) == "true"
