"""Handle heartbeats of the target beside this node, and the platform's health check."""

from gentianlink.core.errors import CodecError
from gentianlink.core.field_checks import is_from_future
from gentianlink.node.clock import get_monotonic_ms, get_now_ms
from gentianlink.node.log import get_logger
from gentianlink.platform.heartbeat_codec import decode_heartbeat, decode_started_ms
from gentianlink.platform.wire import ANNOUNCE_PATH_PREFIX, READY_PATH
from gentianlink.sidecar.endpoints_server import Reply
from gentianlink.sidecar.status import (
    STATUS_BAD_REQUEST,
    STATUS_CONFLICT,
    STATUS_NOT_FOUND,
    STATUS_UNAVAILABLE,
)

_LOG = get_logger("control")

MAX_LOGGED_BODY_BYTES = 200


def make_control_handler(local_target, wait_until_kept, is_known_service):
    """Return the handler of the target's heartbeats and of its leave message.

    That a target leaves is acknowledged once it gets no calls and that outlives this
    process; else the answer says so, and the target announces it again.

    Parameters
    ----------
    local_target : LocalTarget
        State of the target, which the messages update.
    wait_until_kept : callable
        Coroutine function that takes the name of a target; returns whether the present
        state is kept outside of this process.
    is_known_service : callable
        Takes the name of a service; returns whether the catalogue has it.

    Returns
    -------
    callable
        Takes method, path and body and returns a Reply or a coroutine that does.
    """

    async def acknowledge(target_id):
        if local_target.takes_calls(target_id):
            return Reply(STATUS_CONFLICT)
        is_kept = await wait_until_kept(target_id)
        return Reply(body=b"{}") if is_kept else Reply(STATUS_UNAVAILABLE)

    def handle(method, path, body):
        target_id = path.removeprefix(ANNOUNCE_PATH_PREFIX)
        if not path.startswith(ANNOUNCE_PATH_PREFIX) or not target_id:
            return Reply(STATUS_NOT_FOUND)
        if method == "DELETE":
            local_target.handle_leave(target_id, decode_started_ms(body), get_now_ms())
            return acknowledge(target_id)
        if method != "PUT":
            return Reply(STATUS_NOT_FOUND)
        heartbeat = _read_heartbeat(local_target, target_id, body, is_known_service)
        if heartbeat is None:
            return Reply(STATUS_BAD_REQUEST)
        local_target.handle_heartbeat(heartbeat, get_monotonic_ms(), get_now_ms())
        return acknowledge(target_id) if heartbeat.is_draining else Reply(body=b"{}")

    return handle


def _read_heartbeat(local_target, target_id, body, is_known_service):
    """Return the heartbeat of a body, None if it is not one of this node's target."""
    try:
        heartbeat = decode_heartbeat(target_id, body)
        if is_from_future(heartbeat.started_ms, get_now_ms()):
            raise CodecError(f"start at {heartbeat.started_ms}, in the future")
    except CodecError as error:
        start = body[:MAX_LOGGED_BODY_BYTES].decode(errors="replace")
        _LOG.warning("heartbeat refused", target=target_id, why=str(error), body=start)
        return None
    if heartbeat.address != local_target.address:
        _LOG.warning(
            "heartbeat of another address ignored",
            target=target_id,
            address=heartbeat.address,
        )
        return None
    info = local_target.info
    is_known = is_known_service(heartbeat.service)
    if not is_known and info is not None and is_known_service(info.service):
        # No rule leads to such a target, and the present one would be lost by it.
        _LOG.warning(
            "heartbeat of an unknown service ignored",
            target=target_id,
            service=heartbeat.service,
        )
        return None
    return heartbeat


def make_ready_handler(is_ready):
    """Return the handler of the platform's health check of this node.

    Parameters
    ----------
    is_ready : callable
        Returns whether callers should send new calls here.

    Returns
    -------
    callable
        Takes method, path and body and returns a Reply.
    """

    def handle(method, path, body):
        if path != READY_PATH:
            return Reply(STATUS_NOT_FOUND)
        return Reply() if is_ready() else Reply(STATUS_UNAVAILABLE)

    return handle
