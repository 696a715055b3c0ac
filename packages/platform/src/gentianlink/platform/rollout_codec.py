"""Codecs of the rows by which an operator orders and follows a roll-out."""

import orjson

from gentianlink.core.field_checks import (
    check_number,
    check_text,
    decoding,
    describe,
)
from gentianlink.core.rollout import RolloutOrder, RolloutPhase
from gentianlink.platform import wire

MS_PER_S = 1000
# Ten years; longer roll-outs are mistakes.
MAX_DURATION_S = 3.2e8
# Operators know no phase between running and done.
STATUS_BY_PHASE = {
    RolloutPhase.RUNNING: "running",
    RolloutPhase.CLOSING: "running",
    RolloutPhase.DONE: "done",
    RolloutPhase.ROLLED_BACK: "rolled_back",
}
PHASE_BY_STATUS = {
    "running": RolloutPhase.RUNNING,
    "done": RolloutPhase.DONE,
    "rolled_back": RolloutPhase.ROLLED_BACK,
}


def decode_rollout_order(key, data, revision):
    """Decode the row of a roll-out.

    Parameters
    ----------
    key : str
        Key of the row.
    data : bytes
        Value of the row.
    revision : int
        Revision of the row.

    Returns
    -------
    RolloutOrder
        The order.

    Raises
    ------
    CodecError
        If the value is malformed, or names another service than the key.
    """
    with decoding():
        value = orjson.loads(data)
        service, version = value["service"], value["to"]
        duration_ms = check_number(value["duration_s"], most=MAX_DURATION_S) * MS_PER_S
        check_text(version)
        if check_text(service) != key.removeprefix(wire.ROLLOUT_KEY_PREFIX):
            raise ValueError(f"service {describe(service)} in the row {describe(key)}")
        if not duration_ms > 0:
            raise ValueError(f"duration of {duration_ms} ms")
    return RolloutOrder(service, version, duration_ms, revision)


def encode_rollout_status(state):
    """Encode the state of a roll-out for the operator.

    Parameters
    ----------
    state : RolloutState
        The state.

    Returns
    -------
    str
        Value of the row.
    """
    value = {"state": STATUS_BY_PHASE[state.phase], "to": state.version}
    return orjson.dumps(value).decode()


def decode_rollout_status(data):
    """Decode the row with the state of a roll-out.

    Parameters
    ----------
    data : str or bytes
        Value of the row.

    Returns
    -------
    phase : RolloutPhase
        Phase of the roll-out.
    version : str
        Version of the targets that calls are moved to.

    Raises
    ------
    CodecError
        If the value is malformed.
    """
    with decoding():
        value = orjson.loads(data)
        return PHASE_BY_STATUS[value["state"]], check_text(value["to"])
