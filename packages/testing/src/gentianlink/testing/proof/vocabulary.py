"""Promises, faults and steps of the proof table."""

PROMISES = {
    "never-back": "No node goes back to an older catalogue version.",
    "no-dangling-route": "No route points at a service or endpoint the node lacks.",
    "all-or-none": "A bad catalogue version is never applied in part.",
    "own-answer": "Every caller gets the complete answer to its own request.",
    "not-run": "A call answered as not run was not executed.",
    "at-most-once": "Non-idempotent work is executed at most once.",
    "no-new-work": "A draining target receives no new work after a few seconds.",
    "no-cut": "A graceful stop interrupts no request in flight.",
    "in-force": "An accepted change is in force everywhere within seconds.",
}

FAULTS = {
    "none": "no fault",
    "kill": "a process is killed",
    "mass-restart": "many processes are killed and restarted at once",
    "freeze": "a process is paused and resumed",
    "cut": "a connection is cut",
    "silent": "an open connection no longer delivers data",
    "reordered": "updates arrive out of order, late, twice or corrupted",
    "table-down": "the table service is down or slow",
    "objects-down": "the object store is down or slow",
    "answer-lost": "a platform answer is lost after the write took effect",
    "lease-lapse": "a lease lapses while its holder is paused",
    "race": "two operators or two submissions act at the same time",
    "partition": "data centres or regions can't reach each other",
    "bad-input": "input from outside is malformed",
    "overload": "the offered load exceeds the capacity",
}

STEPS = (
    "accept",
    "store",
    "announce",
    "spread",
    "apply",
    "route",
    "claim",
    "dispatch",
    "answer",
    "drain",
    "stop",
    "restart",
)

STEPS_BY_PROMISE = {
    "never-back": ("accept", "store", "spread", "apply", "restart"),
    "no-dangling-route": ("announce", "spread", "apply", "route", "restart"),
    "all-or-none": ("accept", "store", "spread", "apply"),
    "own-answer": ("route", "dispatch", "answer", "drain", "stop"),
    "not-run": ("route", "claim", "dispatch", "answer", "drain"),
    "at-most-once": ("route", "claim", "dispatch", "answer", "restart"),
    "no-new-work": ("announce", "spread", "route", "dispatch", "drain"),
    "no-cut": ("dispatch", "answer", "drain", "stop"),
    "in-force": ("accept", "store", "spread", "apply", "restart"),
}

_NO_LEASE = "versions are not held under a lease"
_NO_CALLS = "the load of calls does not affect versions or records"
_NO_OBJECTS = "the object store is not on the path of calls"
_NO_WRITE = "no write to the platform is involved"
_NO_ORDER = "a stop concerns one process and no order of updates"

FAULTS_NOT_APPLICABLE = {
    ("never-back", "lease-lapse"): _NO_LEASE,
    ("never-back", "overload"): _NO_CALLS,
    ("no-dangling-route", "answer-lost"): _NO_WRITE,
    ("no-dangling-route", "overload"): _NO_CALLS,
    ("all-or-none", "lease-lapse"): _NO_LEASE,
    ("all-or-none", "overload"): _NO_CALLS,
    ("own-answer", "objects-down"): _NO_OBJECTS,
    ("own-answer", "lease-lapse"): "no lease decides which call an answer belongs to",
    ("not-run", "objects-down"): _NO_OBJECTS,
    ("at-most-once", "objects-down"): _NO_OBJECTS,
    ("no-new-work", "objects-down"): _NO_OBJECTS,
    ("no-new-work", "answer-lost"): _NO_WRITE,
    ("no-cut", "objects-down"): _NO_OBJECTS,
    ("no-cut", "race"): _NO_ORDER,
    ("no-cut", "reordered"): _NO_ORDER,
    ("in-force", "lease-lapse"): _NO_LEASE,
}
