import asyncio

import attrs
import orjson
import pytest
from tornado.httpclient import AsyncHTTPClient

from gentianlink.core.errors import AnnouncementInvalid, SettingsInvalid
from gentianlink.core.explanation import Explanation
from gentianlink.core.node_record import NodeRecord
from gentianlink.core.problem import Problem
from gentianlink.node.admin import make_admin_application
from gentianlink.node.reload_report import ReloadReport
from gentianlink.ops.validate_announcement import validate_announcement
from gentianlink.testing.served_thread import ServedThread

RECORD = NodeRecord("n1", 1, 1, "k", "k-1", "127.0.0.1", 7000, 7001, 7002)
ANNOUNCEMENT = {
    "service": "inquiry",
    "target_id": "t1",
    "port": 8000,
    "slots": 10,
    "state": "ready",
}


class FakeNode:
    """Fake node behind the admin port."""

    def __init__(self):
        self.is_draining = False
        self.announcements = []
        self.local_targets = self
        self.applied = self
        self.version = 3
        self.reload_problems = []

    def announce(self, announcement, now_ms):
        problems = validate_announcement(announcement)
        if problems:
            raise AnnouncementInvalid(problems)
        self.announcements.append(announcement)

    def is_ready(self):
        return not self.is_draining

    def get_nodes(self):
        return [RECORD]

    def explain(self, path):
        return Explanation("n1", path, 3, "no-route")

    def reload_settings(self):
        if self.reload_problems:
            raise SettingsInvalid(self.reload_problems)
        return ReloadReport(("log.level",), ())

    def get_status(self):
        raise ZeroDivisionError


class TestAdmin:
    @pytest.fixture
    def node(self):
        return FakeNode()

    @pytest.fixture
    def ask(self, node):
        with ServedThread() as thread:
            url = thread.serve(make_admin_application(node))

            def ask(method, path, body=None):
                response = asyncio.run(fetch(method, url + path, body))
                return response.code, orjson.loads(response.body)

            yield ask

    def test_announcement(self, node, ask):
        body = orjson.dumps(ANNOUNCEMENT)
        answer = {"version": 3, "draining": False}
        assert ask("POST", "/v1/targets", body) == (200, answer)
        assert [item.target_id for item in node.announcements] == ["t1"]

    def test_answer_reports_drain(self, node, ask):
        node.is_draining = True
        answer = {"version": 3, "draining": True}
        assert ask("POST", "/v1/targets", orjson.dumps(ANNOUNCEMENT)) == (200, answer)

    @pytest.mark.parametrize(
        "body", [b"", b"{", b"[]", b"null", b'{"service": 1}', b"\xff", b"[" * 5000]
    )
    def test_malformed_announcement(self, node, ask, body):
        status, answer = ask("POST", "/v1/targets", body)
        assert (status, answer["type"]) == (400, "CodecError")
        assert node.announcements == []

    def test_unknown_state(self, node, ask):
        body = orjson.dumps({**ANNOUNCEMENT, "state": "tired"})
        status, answer = ask("POST", "/v1/targets", body)
        assert (status, answer["type"]) == (400, "AnnouncementInvalid")
        assert node.announcements == []

    def test_large_body(self, ask):
        body = b"x" * (64 * 1024 + 1)
        assert ask("POST", "/v1/targets", body) == (
            413,
            {
                "error": "the body is larger than 65536 bytes",
                "type": "AdminRequestInvalid",
            },
        )

    def test_unknown_path(self, ask):
        answer = {"error": "no such path", "type": "AdminRequestInvalid"}
        assert ask("GET", "/v2/status") == (404, answer)

    def test_unknown_method(self, ask):
        answer = {"error": "Method Not Allowed", "type": "Method Not Allowed"}
        assert ask("DELETE", "/v1/status") == (405, answer)

    def test_unexpected_error(self, ask):
        name = "Internal Server Error"
        assert ask("GET", "/v1/status") == (500, {"error": name, "type": name})

    def test_readiness(self, node, ask):
        assert ask("GET", "/readyz") == (200, {"ready": True})
        node.is_draining = True
        assert ask("GET", "/readyz") == (503, {"ready": False})

    def test_nodes(self, ask):
        record = {**attrs.asdict(RECORD), "state": "alive"}
        assert ask("GET", "/v1/nodes") == (200, {"nodes": [record]})

    def test_explain(self, ask):
        status, answer = ask("GET", "/v1/explain?path=/a/b?c")
        assert (status, answer["path"], answer["reason"]) == (200, "/a/b", "no-route")

    @pytest.mark.parametrize("query", ["", "?path=", "?path=a", "?path=/" + "a" * 4096])
    def test_explain_invalid_path(self, ask, query):
        answer = {"error": "path is not an absolute path"}
        answer["type"] = "AdminRequestInvalid"
        assert ask("GET", f"/v1/explain{query}") == (400, answer)

    @pytest.mark.parametrize("text", ["x", "-1", "1.5", "%d9%a1", "9" * 5000])
    def test_invalid_version(self, ask, text):
        answer = {"error": "version is not a whole number"}
        answer["type"] = "AdminRequestInvalid"
        assert ask("GET", f"/v1/convergence?version={text}") == (400, answer)

    def test_reload(self, ask):
        answer = {"applied": ["log.level"], "needs_restart": []}
        assert ask("POST", "/v1/reload", b"") == (200, answer)

    def test_reload_of_invalid_settings(self, node, ask):
        node.reload_problems = [Problem("n.ini", "log", "level", "'x'", "info")]
        status, answer = ask("POST", "/v1/reload", b"")
        assert (status, answer["type"]) == (422, "SettingsInvalid")
        assert answer["problems"] == ["n.ini: [log] level: found 'x'; allowed: info"]


async def fetch(method, url, body):
    client = AsyncHTTPClient()
    return await client.fetch(url, method=method, body=body, raise_error=False)
