"""HTTP endpoint for Prometheus scrapes."""

from gentianlink.sidecar.endpoints_server import Reply
from gentianlink.sidecar.status import STATUS_NOT_FOUND

METRICS_PATH = "/metrics"
CONTENT_TYPE = "text/plain; version=0.0.4"


def make_metrics_handler(render):
    """Return the request handler of the metrics endpoint.

    Parameters
    ----------
    render : callable
        Returns all metrics in the Prometheus text format, as bytes.

    Returns
    -------
    callable
        Takes a method, a path and a body, and returns a Reply.
    """

    def handle(method, path, body):
        if path != METRICS_PATH:
            return Reply(STATUS_NOT_FOUND)
        return Reply(body=render(), content_type=CONTENT_TYPE)

    return handle
