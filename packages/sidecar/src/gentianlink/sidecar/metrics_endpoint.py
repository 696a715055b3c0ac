"""Serve the metrics of the process."""

from gentianlink.sidecar.endpoints_server import Reply
from gentianlink.sidecar.status import STATUS_NOT_FOUND

METRICS_PATH = "/metrics"
CONTENT_TYPE = "text/plain; version=0.0.4"


def make_metrics_handler(render):
    """Return the handler of requests for metrics.

    Parameters
    ----------
    render : callable
        Returns all metrics as text.

    Returns
    -------
    callable
        Takes method, path and body and returns a Reply.
    """

    def handle(method, path, body):
        if path != METRICS_PATH:
            return Reply(STATUS_NOT_FOUND)
        return Reply(body=render(), content_type=CONTENT_TYPE)

    return handle
