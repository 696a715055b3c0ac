"""The admin port: announcements of targets, health, status and metrics."""

import cattrs
import orjson
from aioprometheus import REGISTRY, render
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from gentianlink.core.announcement import Announcement
from gentianlink.core.codec import decode
from gentianlink.core.errors import AnnouncementInvalid, CodecError
from gentianlink.node.clock import get_monotonic_ms
from gentianlink.ops.convergence import format_convergence

STATUS_BAD_REQUEST = 400
STATUS_UNAVAILABLE = 503
MAX_BODY_BYTES = 64 * 1024
MAX_VERSION = 2**63 - 1


class _Handler(RequestHandler):
    def initialize(self, node):
        self._node = node

    def write_json(self, value):
        self.set_header("Content-Type", "application/json")
        self.write(orjson.dumps(value, option=orjson.OPT_NON_STR_KEYS))


class TargetsHandler(_Handler):
    """Takes announcements and heartbeats of targets."""

    def post(self):
        """Take in an announcement or a heartbeat."""
        try:
            announcement = decode(self.request.body, Announcement)
            self._node.local_targets.announce(announcement, get_monotonic_ms())
        except (CodecError, AnnouncementInvalid) as error:
            self.set_status(STATUS_BAD_REQUEST)
            self.write_json({"error": str(error), "type": type(error).__name__})
            return
        self.write_json({"version": self._node.applied.version})


class TargetHandler(_Handler):
    """Takes the leave of a target."""

    def delete(self, target_id):
        """Take in that a target has left."""
        self._node.local_targets.remove(target_id, get_monotonic_ms())
        self.write_json({})


class ReadyHandler(_Handler):
    """Says whether this node may serve."""

    def get(self):
        """Answer 200 if ready, else 503."""
        if not self._node.is_ready():
            self.set_status(STATUS_UNAVAILABLE)
        self.write_json({"ready": self._node.is_ready()})


class HealthHandler(_Handler):
    """Says that the process is alive."""

    def get(self):
        """Answer 200."""
        self.write_json({"alive": True})


class StatusHandler(_Handler):
    """Describes this node."""

    def get(self):
        """Answer with what this node knows and does."""
        self.write_json(cattrs.unstructure(self._node.get_status()))


class ConvergenceHandler(_Handler):
    """Says how far a version is in force."""

    async def get(self):
        """Answer with the state of the version asked for, else of the own one."""
        text = self.get_query_argument("version", str(self._node.applied.version))
        if not text.isascii() or not text.isdecimal() or int(text) > MAX_VERSION:
            self.set_status(STATUS_BAD_REQUEST)
            self.write_json({"error": "version is not a whole number"})
            return
        state = await self._node.compute_convergence(int(text))
        self.write_json(format_convergence(state))


class MetricsHandler(_Handler):
    """Serves metrics in the format of Prometheus."""

    def get(self):
        """Answer with all metrics."""
        self._node.update_metrics()
        accept = self.request.headers.get_list("Accept")
        content, headers = render(REGISTRY, accept)
        for name, value in headers.items():
            self.set_header(name, value)
        self.write(content)


def start_admin_server(node, address, port):
    """Start the admin port.

    Parameters
    ----------
    node : Node
        The node that it describes.
    address : str
        IP number to listen on.
    port : int
        TCP port to listen on.

    Returns
    -------
    tornado.httpserver.HTTPServer
        The running server.
    """
    arguments = {"node": node}
    application = Application(
        [
            ("/v1/targets", TargetsHandler, arguments),
            ("/v1/targets/([^/]+)", TargetHandler, arguments),
            ("/v1/status", StatusHandler, arguments),
            ("/v1/convergence", ConvergenceHandler, arguments),
            ("/readyz", ReadyHandler, arguments),
            ("/healthz", HealthHandler, arguments),
            ("/metrics", MetricsHandler, arguments),
        ],
        log_function=lambda handler: None,
    )
    server = HTTPServer(application, max_body_size=MAX_BODY_BYTES)
    server.add_sockets(bind_sockets(port, address))
    return server
