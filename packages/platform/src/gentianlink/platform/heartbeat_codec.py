"""Decoder for the heartbeats and deregistrations of targets."""

import orjson

from gentianlink.core.field_checks import (
    UNREADABLE,
    check_address,
    check_integer,
    check_number,
    check_text,
    decoding,
    describe,
)
from gentianlink.core.heartbeat import Heartbeat

MS_PER_S = 1000
STATE_DRAINING = "draining"
STATES = ("ready", STATE_DRAINING)
MAX_SLOTS = 1_000_000
MAX_COLD_S = 1e6


def decode_heartbeat(target_id, data):
    """Decode the body of a heartbeat.

    Parameters
    ----------
    target_id : str
        Name of the target, from the path.
    data : bytes
        Body of the request.

    Returns
    -------
    Heartbeat
        The heartbeat.

    Raises
    ------
    CodecError
        If a field is missing, out of range or of the wrong type, or the state is
        unknown.
    """
    with decoding():
        value = orjson.loads(data)
        state = value["state"]
        if state not in STATES:
            raise ValueError(f"unknown state {describe(state)}")
        version = value.get("version")
        cold_s = check_number(value.get("cold_left_s") or 0, most=MAX_COLD_S)
        return Heartbeat(
            target_id=check_text(target_id),
            service=check_text(value["service"]),
            address=check_address(value["address"]),
            slots=check_integer(value["capacity"], most=MAX_SLOTS),
            is_draining=state == STATE_DRAINING,
            cold_ms=cold_s * MS_PER_S,
            started_ms=check_integer(value["born"]),
            sequence=check_integer(value["sequence"]),
            version="" if version is None else check_text(version),
        )


def decode_started_ms(data):
    """Return the start of the process that a deregistration request names.

    Parameters
    ----------
    data : bytes
        Body of the request; may be empty.

    Returns
    -------
    int or None
        Start in milliseconds since the Unix epoch, None if the body has none.
    """
    try:
        return check_integer(orjson.loads(data)["born"])
    except UNREADABLE:
        return None
