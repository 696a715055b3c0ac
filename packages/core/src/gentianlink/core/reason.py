"""Reasons for refusing a call or reporting its outcome as unknown."""

import enum


class Reason(enum.Enum):
    """Reason for a refusal or an unknown outcome."""

    BAD_REQUEST = "bad-request"
    NO_ROUTE = "no-route"
    NO_TARGET = "no-target"
    BAD_DEADLINE = "bad-deadline"
    BAD_KEY = "bad-key"
    KEY_REQUIRED = "key-required"
    KEY_REUSED = "key-reused"
    KEY_IN_PROGRESS = "key-in-progress"
    KEY_EXPIRED = "key-expired"
    OUTCOME_UNKNOWN = "outcome-unknown"
    ANSWER_NOT_KEPT = "answer-not-kept"
    BODY_TOO_LARGE = "body-too-large"
    RATE_LIMIT = "rate-limit"
    CONCURRENCY_LIMIT = "concurrency-limit"
    OVERLOADED = "overloaded"
    DEADLINE_PASSED = "deadline-passed"
    DRAINING = "draining"
    NOT_READY = "not-ready"
    STORE_UNAVAILABLE = "store-unavailable"
    TARGET_UNREACHABLE = "target-unreachable"
    TARGET_LOST = "target-lost"
    TARGET_SILENT = "target-silent"
    WRONG_NODE = "wrong-node"
    TARGET_SHED = "target-shed"
    BAD_ANSWER = "bad-answer"
    CONNECTION_LIMIT = "connection-limit"
