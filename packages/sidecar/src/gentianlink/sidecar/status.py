"""HTTP statuses, and the retry delay for refusals due to an outdated view."""

STATUS_OK = 200
STATUS_BAD_REQUEST = 400
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 409
STATUS_SERVER_ERROR = 500
STATUS_UNAVAILABLE = 503

# Retry delay for a sender that was refused because its view of the nodes and targets
# was out of date. The current state has reached it by then: the time covers several
# round trips between data centres.
STALE_STATE_RETRY_MS = 100
