"""HTTP endpoint for the requests of other nodes."""

import orjson

from gentianlink.core.field_checks import (
    MAX_NUMBER,
    UNREADABLE,
    check_number,
    check_text,
)
from gentianlink.node.clock import get_monotonic_ms
from gentianlink.node.log import get_logger
from gentianlink.sidecar.endpoints_server import Reply
from gentianlink.sidecar.exchange.peer_paths import (
    EXCHANGE_PATH,
    FENCE_PATH,
    FOLLOW_PATH_PREFIX,
    FOLLOW_WAIT_S,
    PREFIXES,
    RULES_PATH_PREFIX,
    SYNCHRONISE_PATH,
)
from gentianlink.sidecar.status import (
    STATUS_BAD_REQUEST,
    STATUS_NOT_FOUND,
    STATUS_UNAVAILABLE,
)

_LOG = get_logger("peers")

# Another node may notice the loss of a reader this much earlier than this node does.
TAKEOVER_WAIT_S = 0.4


def make_peer_handler(exchange, holder, feed, dispatches, incarnation):
    """Return the handler for the requests of other nodes.

    Parameters
    ----------
    exchange : PeerExchange
        Answers state exchanges.
    holder : RuleHolder
        Provides the catalogue version in force.
    feed : RuleFeed
        Tells whether this node reads the operator's table.
    dispatches : DispatchLog
        Tells which calls were sent to the target, and fences the others.
    incarnation : int
        Incarnation of this node.

    Returns
    -------
    callable
        Takes a method, a path and a body, and returns a Reply or a coroutine that does.
    """

    def handle(method, path, body):
        form, prefix = next(
            item for item in PREFIXES.items() if path.startswith(item[1])
        )
        resource = path.removeprefix(prefix)
        if resource == EXCHANGE_PATH:
            return exchange.answer_exchange(body, form)
        if resource == SYNCHRONISE_PATH:
            return exchange.comparison.answer(body, form)
        if resource.startswith(RULES_PATH_PREFIX):
            version = _parse_version(resource, RULES_PATH_PREFIX)
            return Reply(body=holder.encode_since(version, form))
        if resource.startswith(FOLLOW_PATH_PREFIX):
            version = _parse_version(resource, FOLLOW_PATH_PREFIX)
            return _follow(holder, feed, version, form)
        if path == FENCE_PATH:
            return _fence(dispatches, incarnation, body)
        return Reply(STATUS_NOT_FOUND)

    return handle


def _parse_version(path, prefix):
    version = path.removeprefix(prefix)
    return int(version) if version.isdigit() else 0


async def _follow(holder, feed, version, form):
    # This node may be about to take over as a reader: a follower can notice the loss of
    # the previous reader earlier.
    wait_s = FOLLOW_WAIT_S if feed.is_reading else TAKEOVER_WAIT_S
    is_newer = await holder.wait_for_newer(version, wait_s)
    if not is_newer and not feed.is_reading:
        return Reply(STATUS_UNAVAILABLE)
    return Reply(body=holder.encode_since(version, form))


def _fence(dispatches, incarnation, body):
    try:
        request = orjson.loads(body)
        request_id, requested = request["id"], request["incarnation"]
        check_text(request_id, may_be_empty=True)
        remaining_ms = check_number(request["remaining_ms"], least=-MAX_NUMBER)
    except UNREADABLE:
        return Reply(STATUS_BAD_REQUEST)
    # An earlier incarnation may have sent a call that was forwarded to it, and this
    # process can't tell.
    covered_ms = 0.0
    if requested == incarnation:
        covered_ms = dispatches.fence(request_id, remaining_ms, get_monotonic_ms())
    _LOG.info("fence requested", id=request_id, covered_ms=round(covered_ms))
    return Reply(body=orjson.dumps({"id": request_id, "covered_ms": covered_ms}))
