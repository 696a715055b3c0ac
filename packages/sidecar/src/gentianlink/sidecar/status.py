"""Statuses of HTTP, and the time to come back that goes with a refusal."""

STATUS_OK = 200
STATUS_BAD_REQUEST = 400
STATUS_NOT_FOUND = 404
STATUS_SERVER_ERROR = 500
STATUS_UNAVAILABLE = 503

# Time in milliseconds after which a node that was refused for what it did not know has
# the news: several ways to another data centre and back.
NEWS_RETRY_MS = 100
