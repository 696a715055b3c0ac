"""Names defined by the platform: paths, tables and headers."""

ROWS_TRANSACTION_PATH = "/api/rows-tx"
ROWS_GET_PATH = "/api/rows-get"
ROWS_FEED_PATH = "/api/rows-feed"
OBJECT_PUT_PATH = "/api/blob-put/"
OBJECT_GET_PATH = "/api/blob-get/"
OBJECT_LIST_PATH = "/api/blob-list"

# Table that the operator writes, and the key of the row with the catalogue.
OPERATOR_TABLE = "op"
CATALOGUE_KEY = "config"
# Prefix of the keys of orders to roll out a version, and of the rows with their state.
ROLLOUT_KEY_PREFIX = "rollout/"
STATUS_TABLE = "status"
# Tables of this product.
PRODUCT_TABLE = "gentianlink"
NODES_TABLE = "gentianlink-nodes"

READY_PATH = "/api/ready"
ANNOUNCE_PATH_PREFIX = "/api/instances/"

REQUEST_ID = "Request-Id"
# Time in milliseconds that the sender, a caller or a node, waits for the answer.
DEADLINE_MS = "Deadline-Ms"
# Set by a target on each answer that it produced itself.
ANSWER_SEAL = "Server-Seal"
EXPECTED_TARGET = "Expect-Instance"
# Set by a target that did not execute the request.
NOT_EXECUTED = "Not-Executed"
# Service that originated the call.
CALLING_SERVICE = "Caller-Service"
# API key of a caller, after the scheme.
AUTHORIZATION = "Authorization"
KEY_SCHEME = "bearer"
# Name of the tenant to which the caller's API key belongs, for the target.
TENANT = "Tenant"
# Calls a second that a target accepts from all nodes together.
RATE_LIMIT = "Server-Limit"
# Set to "1" by a target that is about to leave.
LEAVING = "Server-Leaving"
# Number that rises each time the table service returns from an older copy.
STORE_ERA = "Store-Era"
