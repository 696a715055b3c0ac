"""Handlers of the admin port; errors are answered by a JSON object with their type."""

import http
import re

import cattrs
import orjson
from aioprometheus import REGISTRY, render
from tornado.web import RequestHandler

from gentianlink.core.announcement import Announcement
from gentianlink.core.codec import decode
from gentianlink.core.errors import GentianlinkError, SettingsInvalid
from gentianlink.node.clock import get_monotonic_ms
from gentianlink.node.errors import AdminRequestInvalid
from gentianlink.node.log import get_logger
from gentianlink.ops.convergence import format_convergence

_LOG = get_logger("admin")

MAX_BODY_BYTES = 64 * 1024
MAX_READ_BYTES = 1 << 20
MAX_PATH_CHARACTERS = 4096
_VERSION = re.compile(r"[0-9]{1,18}")


class AdminHandler(RequestHandler):
    """Base class of the handlers."""

    def initialize(self, node):
        """Store the node that the admin port serves."""
        self._node = node

    def prepare(self):
        """Refuse a body larger than ``MAX_BODY_BYTES``."""
        if len(self.request.body) > MAX_BODY_BYTES:
            raise AdminRequestInvalid(
                http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
                f"the body is larger than {MAX_BODY_BYTES} bytes",
            )

    def write_json(self, value):
        """Answer with a value as JSON."""
        self.set_header("Content-Type", "application/json")
        self.write(orjson.dumps(value, option=orjson.OPT_NON_STR_KEYS))

    def log_exception(self, typ, value, tb):
        """Log the reason of a refusal, or an unexpected error with its traceback."""
        if isinstance(value, GentianlinkError):
            _LOG.warning("request refused", path=self.request.path, why=str(value))
        elif not hasattr(value, "status_code"):
            _LOG.error("request failed", path=self.request.path, exc_info=value)

    def write_error(self, status_code, **kwargs):
        """Answer with the type and the message of an error."""
        error = kwargs.get("exc_info", (None, None, None))[1]
        name = http.HTTPStatus(status_code).phrase
        message = name
        if isinstance(error, GentianlinkError):
            status_code = _get_status(error)
            name = type(error).__name__
            message = str(error)
        self.set_status(status_code)
        self.write_json({"error": message, "type": name})
        self.finish()


def _get_status(error):
    if isinstance(error, AdminRequestInvalid):
        return error.status
    return http.HTTPStatus.BAD_REQUEST


class UnknownPathHandler(AdminHandler):
    """Refuses requests to paths that the admin port does not have."""

    def prepare(self):
        """Refuse the request with status 404."""
        raise AdminRequestInvalid(http.HTTPStatus.NOT_FOUND, "no such path")


class TargetsHandler(AdminHandler):
    """Receives announcements and heartbeats of targets."""

    def post(self):
        """Register a target, or renew its lease."""
        announcement = decode(self.request.body, Announcement)
        self._node.local_targets.announce(announcement, get_monotonic_ms())
        self.write_json(
            {
                "version": self._node.applied.version,
                "draining": self._node.is_draining,
            }
        )


class TargetHandler(AdminHandler):
    """Receives the deregistration of a target."""

    def delete(self, target_id):
        """Remove a target."""
        self._node.local_targets.remove(target_id, get_monotonic_ms())
        self.write_json({})


class ReadyHandler(AdminHandler):
    """Reports whether this node is ready for new calls."""

    def get(self):
        """Answer 200 if ready, else 503."""
        if not self._node.is_ready():
            self.set_status(http.HTTPStatus.SERVICE_UNAVAILABLE)
        self.write_json({"ready": self._node.is_ready()})


class HealthHandler(AdminHandler):
    """Liveness check of the process."""

    def get(self):
        """Answer 200."""
        self.write_json({"alive": True})


class StatusHandler(AdminHandler):
    """Returns the status of this node."""

    def get(self):
        """Answer with the fields of ``NodeStatus``."""
        self.write_json(cattrs.unstructure(self._node.get_status()))


class ConvergenceHandler(AdminHandler):
    """Reports on which nodes a version is in force."""

    async def get(self):
        """Answer for the requested version, by default the one in force here."""
        text = self.get_query_argument("version", str(self._node.applied.version))
        if not _VERSION.fullmatch(text):
            raise AdminRequestInvalid(
                http.HTTPStatus.BAD_REQUEST, "version is not a whole number"
            )
        state = await self._node.compute_convergence(int(text))
        self.write_json(format_convergence(state))


class NodesHandler(AdminHandler):
    """Lists the nodes that this node knows."""

    def get(self):
        """Answer with the records of all nodes."""
        self.write_json({"nodes": cattrs.unstructure(self._node.get_nodes())})


class ExplainHandler(AdminHandler):
    """Explains how this node would route a call."""

    def get(self):
        """Answer with the explanation for a path."""
        path = self.get_query_argument("path", "").partition("?")[0]
        if not path.startswith("/") or len(path) > MAX_PATH_CHARACTERS:
            raise AdminRequestInvalid(
                http.HTTPStatus.BAD_REQUEST, "path is not an absolute path"
            )
        self.write_json(cattrs.unstructure(self._node.explain(path)))


class ReloadHandler(AdminHandler):
    """Reloads the settings file."""

    def post(self):
        """Answer with the changed keys, by whether they need a restart."""
        try:
            report = self._node.reload_settings()
        except SettingsInvalid as error:
            self.set_status(http.HTTPStatus.UNPROCESSABLE_ENTITY)
            problems = [problem.format() for problem in error.problems]
            name = type(error).__name__
            answer = {"error": str(error), "type": name, "problems": problems}
            self.write_json(answer)
            return
        self.write_json(cattrs.unstructure(report))


class MetricsHandler(AdminHandler):
    """Serves metrics in a Prometheus exposition format."""

    def get(self):
        """Answer with all metrics."""
        self._node.update_metrics()
        accept = self.request.headers.get_list("Accept")
        content, headers = render(REGISTRY, accept)
        for name, value in headers.items():
            self.set_header(name, value)
        self.write(content)
