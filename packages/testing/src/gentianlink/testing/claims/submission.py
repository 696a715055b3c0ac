"""Record of one simulated call and its answer."""

import attrs
from tornado.httputil import HTTPHeaders

from gentianlink.core import headers as names
from gentianlink.core.outcome import Outcome
from gentianlink.core.reason import Reason
from gentianlink.node.proxy.request_body import RequestBody


@attrs.define(eq=False)
class Submission:
    """One call and the answer that its caller received."""

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
    executions_when_answered: int = 0

    @property
    def is_replay(self):
        """Whether the answer is the recorded one of an earlier call."""
        return self.headers.get(names.REPLAY) == "true"
