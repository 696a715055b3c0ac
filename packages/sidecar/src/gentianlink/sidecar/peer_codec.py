"""Short encoding of the messages between nodes.

Bytes between data centres have a price and most messages only say that nothing has
changed, so fields go by place and not by name. The few types are checked by hand: the
library for it would add a tenth to the time of a start.
"""

import attrs
import orjson

from gentianlink.core.errors import CodecError
from gentianlink.core.target_state import TargetState
from gentianlink.sidecar.peer_message import PeerMessage
from gentianlink.sidecar.peer_record import PeerRecord
from gentianlink.sidecar.target_info import TargetInfo
from gentianlink.sidecar.target_load import TargetLoad


def encode_message(message):
    """Encode a message of the exchange of state.

    Parameters
    ----------
    message : PeerMessage
        The message.

    Returns
    -------
    bytes
        JSON lists.
    """
    return orjson.dumps(attrs.astuple(message))


def encode_record(record):
    """Encode a record for the row of its node."""
    return orjson.dumps(attrs.astuple(record)).decode()


def decode_record(data):
    """Decode the row of a node.

    Parameters
    ----------
    data : bytes
        Output of :func:`encode_record`.

    Returns
    -------
    PeerRecord
        The record.

    Raises
    ------
    CodecError
        If the bytes are no such record.
    """
    return _decode(data, _read_record)


def decode_message(data):
    """Decode a message of another node.

    Parameters
    ----------
    data : bytes
        Output of :func:`encode_message`.

    Returns
    -------
    PeerMessage
        The message.

    Raises
    ------
    CodecError
        If the bytes are no such message.
    """
    return _decode(data, _read_message)


def _decode(data, read):
    try:
        return read(orjson.loads(data))
    except (ValueError, TypeError) as error:
        raise CodecError(f"{type(error).__name__}: {error}") from error


def _read_message(values):
    node_id, order, version, load, known_order, record, former, addresses = values
    return PeerMessage(
        node_id=_check(node_id, str),
        order=_read_order(order),
        version=_check(version, int),
        load=_read_load(load),
        known_order=_read_order(known_order),
        record=None if record is None else _read_record(record),
        former=None if former is None else _read_record(former),
        addresses=tuple(_check(address, str) for address in addresses),
    )


def _read_record(values):
    node_id, incarnation, sequence, data_centre, *rest = values
    peer_address, forward_address, link_mbps, is_stopping, target = rest
    return PeerRecord(
        node_id=_check(node_id, str),
        incarnation=_check(incarnation, int),
        sequence=_check(sequence, int),
        data_centre=_check(data_centre, str),
        peer_address=_check(peer_address, str),
        forward_address=_check(forward_address, str),
        link_mbps=_check(link_mbps, float),
        is_stopping=_check(is_stopping, bool),
        target=None if target is None else _read_target(target),
    )


def _read_target(values):
    target_id, service, slots, state, started_ms, sequence, *rest = values
    is_reachable, cold_until_ms, is_failing = rest
    return TargetInfo(
        target_id=_check(target_id, str),
        service=_check(service, str),
        slots=_check(slots, int),
        state=TargetState(state),
        started_ms=_check(started_ms, int),
        sequence=_check(sequence, int),
        is_reachable=_check(is_reachable, bool),
        cold_until_ms=_check(cold_until_ms, int),
        is_failing=_check(is_failing, bool),
    )


def _read_load(values):
    in_flight, waiting, wait_ms = values
    return TargetLoad(
        _check(in_flight, int), _check(waiting, int), float(_check(wait_ms, float))
    )


def _read_order(values):
    incarnation, sequence = values
    return _check(incarnation, int), _check(sequence, int)


def _check(value, expected):
    if type(value) is not expected:
        raise TypeError(f"{value!r} is not {expected.__name__}")
    return value
