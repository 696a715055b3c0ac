"""Routes and HTTP server of the admin port."""

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from gentianlink.node import admin_handlers as handlers

ROUTES = (
    ("/v1/targets", handlers.TargetsHandler),
    ("/v1/targets/([^/]+)", handlers.TargetHandler),
    ("/v1/status", handlers.StatusHandler),
    ("/v1/convergence", handlers.ConvergenceHandler),
    ("/v1/nodes", handlers.NodesHandler),
    ("/v1/explain", handlers.ExplainHandler),
    ("/v1/reload", handlers.ReloadHandler),
    ("/readyz", handlers.ReadyHandler),
    ("/healthz", handlers.HealthHandler),
    ("/metrics", handlers.MetricsHandler),
)


def make_admin_application(node):
    """Return the Tornado application of the admin port.

    Parameters
    ----------
    node : Node
        Node that the admin port serves.

    Returns
    -------
    tornado.web.Application
        The application.
    """
    arguments = {"node": node}
    return Application(
        [(path, handler, arguments) for path, handler in ROUTES],
        default_handler_class=handlers.UnknownPathHandler,
        default_handler_args=arguments,
        log_function=lambda handler: None,
    )


def start_admin_server(node, address, port):
    """Start the admin port.

    Parameters
    ----------
    node : Node
        Node that the admin port serves.
    address : str
        IP address to listen on.
    port : int
        TCP port to listen on.

    Returns
    -------
    tornado.httpserver.HTTPServer
        The running server.
    """
    server = HTTPServer(
        make_admin_application(node), max_body_size=handlers.MAX_READ_BYTES
    )
    server.add_sockets(bind_sockets(port, address))
    return server
