"""Paths of the requests between nodes."""

from gentianlink.sidecar.exchange.peer_codec import (
    FORM_CRASHES,
    FORM_DATAGRAMS,
    FORM_FIRST,
    FORM_RECORDS,
    FORM_VERSIONS,
)

EXCHANGE_PATH = "/exchange"
SYNCHRONISE_PATH = "/synchronise"
RULES_PATH_PREFIX = "/rules/"
FOLLOW_PATH_PREFIX = "/follow/"
# Prefix of the paths by the form of the messages. A node that does not know the paths
# of a form accepts only earlier ones.
PREFIXES = {
    FORM_DATAGRAMS: "/v5",
    FORM_VERSIONS: "/v4",
    FORM_CRASHES: "/v3",
    FORM_RECORDS: "/v2",
    FORM_FIRST: "",
}
# Forms of catalogue deltas, newest first.
RULES_FORMS = FORM_VERSIONS, FORM_RECORDS, FORM_FIRST
FENCE_PATH = "/fence"
# Duration of a long poll for a newer version. Its end also shows the follower that the
# reader is alive.
FOLLOW_WAIT_S = 1.0
FOLLOW_TIMEOUT_MS = 1500
