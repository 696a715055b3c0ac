"""Compact JSON encoding of the messages between nodes and of their rows.

Records are encoded as lists without field names, because traffic between data centres
is billed and most messages only say that nothing has changed. Types are checked by
hand, because importing a validation library would lengthen the start of the process by
a tenth.
"""

import enum
import operator

import attrs
import orjson

from gentianlink.core.errors import CodecError
from gentianlink.core.field_checks import (
    UNREADABLE,
    check_address,
    check_flag,
    check_integer,
    check_number,
    check_text,
    decoding,
    explain,
)
from gentianlink.core.rollout import RolloutPhase, RolloutState
from gentianlink.core.target_state import TargetState
from gentianlink.node.log import get_logger
from gentianlink.sidecar.crash_report import CrashReport
from gentianlink.sidecar.exchange.peer_message import LostNode, PeerMessage
from gentianlink.sidecar.exchange.record_digest import BUCKETS
from gentianlink.sidecar.peer_record import PeerRecord
from gentianlink.sidecar.target_info import TargetInfo
from gentianlink.sidecar.target_load import TargetLoad

_LOG = get_logger("peers")

# Forms of messages, newest first: the same as the next one by a node that also accepts
# datagrams, with versions of targets and roll-outs, with reports on crashes, without
# both, and the one before records of other nodes were passed on.
FORM_DATAGRAMS, FORM_VERSIONS, FORM_CRASHES, FORM_RECORDS, FORM_FIRST = 5, 4, 3, 2, 1
# Values about records of other nodes, in a message of the first form.
NO_RECORDS = 0, (), (), 0, ""
# Nodes of earlier releases accept the values of a message before this position.
VALUES_BY_FORM = {FORM_CRASHES: 13, FORM_RECORDS: 13, FORM_FIRST: 8}

# Largest digest of records, and largest number of reports and of calls in one.
MAX_DIGEST = (1 << 64) - 1
MAX_REPORTS = 64
MAX_REPORTED_CALLS = 1024

# Functions that return the values of all fields, by class.
_GETTERS = {}


def encode_message(message, form=FORM_VERSIONS):
    """Encode a message of the state exchange.

    Parameters
    ----------
    message : PeerMessage
        The message.
    form : int, optional
        Form that the receiver accepts: what is newer is left out.

    Returns
    -------
    bytes
        Nested JSON lists.
    """
    if form < FORM_VERSIONS:
        message = attrs.evolve(
            message,
            record=_strip(message.record, form),
            previous=_strip(message.previous, form),
            records=tuple(_strip(record, form) for record in message.records),
        )
    values = _get_values(message)
    return _dump(values[: VALUES_BY_FORM.get(form, len(values))])


def encode_records(records, form=FORM_VERSIONS):
    """Encode a list of records in the form that the receiver accepts."""
    if form < FORM_VERSIONS:
        records = [_strip(record, form) for record in records]
    return _dump(records)


def _strip(record, form):
    """Return a record, which may be None, without what an earlier form lacks."""
    if record is None:
        return None
    target = record.target
    if target is not None:
        target = attrs.evolve(target, version="", work_ms=())
    crashes = record.crashes if form >= FORM_CRASHES else ()
    return attrs.evolve(record, target=target, crashes=crashes)


def _dump(value):
    return orjson.dumps(value, default=_list_fields)


def _get_values(value):
    """Return the values of all fields; costs a third of ``attrs.astuple``."""
    get = _GETTERS.get(type(value))
    if get is None:
        names = [field.name for field in attrs.fields(type(value))]
        get = _GETTERS[type(value)] = operator.attrgetter(*names)
    return get(value)


def _list_fields(value):
    """Return the fields of a part of a message.

    A record without reports on crashes, and a target without a version, have the same
    form for all releases.
    """
    if isinstance(value, enum.Enum):
        return value.value
    fields = _get_values(value)
    if isinstance(value, PeerRecord) and not value.crashes:
        return fields[:-1]
    if isinstance(value, TargetInfo) and not (value.version or value.work_ms):
        return fields[:-2]
    return fields


def decode_records(data):
    """Decode a list of records.

    Parameters
    ----------
    data : bytes
        Output of :func:`encode_records`.

    Returns
    -------
    list of PeerRecord
        The records.

    Raises
    ------
    CodecError
        If the data is not a list of encoded records.
    """
    return _decode(data, lambda values: list(_parse_records(values)))


def decode_buckets(data):
    """Decode the digests of another node's records.

    Parameters
    ----------
    data : bytes
        JSON list of the digests of all buckets.

    Returns
    -------
    tuple of int
        The digests.

    Raises
    ------
    CodecError
        If the data is not a list of as many digests as there are buckets.
    """
    buckets = _decode(data, lambda values: tuple(_check_digest(v) for v in values))
    if len(buckets) != BUCKETS:
        raise CodecError(f"{len(buckets)} buckets in place of {BUCKETS}")
    return buckets


def encode_record(record):
    """Encode the record of a node as the value of its row."""
    return _dump(record).decode()


def decode_record(data):
    """Decode the value of a node's row.

    Parameters
    ----------
    data : str or bytes
        Output of :func:`encode_record`.

    Returns
    -------
    PeerRecord
        The record.

    Raises
    ------
    CodecError
        If the data is not an encoded record.
    """
    return _decode(data, parse_record)


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
        If the data is not an encoded message.
    """
    return _decode(data, parse_message)


def read_message(values):
    """Return the message of decoded JSON, for example of a datagram.

    Raises
    ------
    CodecError
        If the values are not those of a message.
    """
    with decoding():
        return parse_message(values)


def _decode(data, parse):
    with decoding():
        return parse(orjson.loads(data))


def parse_message(values):
    """Return the message that a list of values encodes; check their types."""
    node_id, order, version, load, known_order, record, previous, *rest = values
    addresses, *rest = rest
    digest, records, lost, missing_version, holder_id, *rest = rest or NO_RECORDS
    [rollouts] = rest or ((),)
    return PeerMessage(
        node_id=check_text(node_id),
        order=_parse_order(order),
        version=check_integer(version),
        load=_parse_load(load),
        known_order=_parse_order(known_order),
        record=None if record is None else parse_record(record),
        previous=None if previous is None else parse_record(previous),
        addresses=tuple(check_text(address) for address in addresses),
        digest=_check_digest(digest),
        records=_parse_records(records),
        lost=tuple(parse_lost(item) for item in lost),
        missing_version=check_integer(missing_version),
        holder_id=check_text(holder_id, may_be_empty=True),
        rollouts=tuple(parse_rollout(item) for item in rollouts),
    )


def _parse_records(values):
    """Return the records that can be read; one bad record must not stop the others."""
    records = []
    for item in values:
        try:
            records.append(parse_record(item))
        except UNREADABLE as error:
            _LOG.warning("record of a node unreadable", why=explain(error))
    return tuple(records)


def parse_rollout(values):
    """Return the state of a roll-out from its list of fields."""
    service, version, revision, step, share, phase, started_ms, duration_ms = values
    return RolloutState(
        service=check_text(service),
        version=check_text(version),
        revision=check_integer(revision, most=MAX_DIGEST),
        step=check_integer(step),
        share=check_number(share, most=1.0),
        phase=RolloutPhase(phase),
        started_ms=check_integer(started_ms),
        duration_ms=check_number(duration_ms),
    )


def parse_lost(values):
    """Return the report that a list of values encodes; check their types."""
    node_id, order = values
    return LostNode(check_text(node_id), _parse_order(order))


def parse_record(values):
    """Return the record that a list of values encodes; check their types."""
    node_id, incarnation, sequence, data_centre, *rest = values
    peer_address, forward_address, link_mbps, is_stopping, target, *rest = rest
    [crashes] = rest or ((),)
    return PeerRecord(
        node_id=check_text(node_id),
        incarnation=check_integer(incarnation),
        sequence=check_integer(sequence),
        data_centre=check_text(data_centre),
        peer_address=check_address(peer_address),
        forward_address=check_address(forward_address),
        link_mbps=check_number(link_mbps),
        is_stopping=check_flag(is_stopping),
        target=None if target is None else _parse_target(target),
        crashes=tuple(_parse_crash(item) for item in crashes[:MAX_REPORTS]),
    )


def _parse_crash(values):
    target_id, started_ms, fingerprints = values
    return CrashReport(
        check_text(target_id),
        check_integer(started_ms),
        tuple(check_text(item) for item in fingerprints[:MAX_REPORTED_CALLS]),
    )


def _parse_target(values):
    target_id, service, slots, state, started_ms, sequence, *rest = values
    is_reachable, cold_until_ms, is_failing, *rest = rest
    version, work_ms = rest or ("", ())
    return TargetInfo(
        target_id=check_text(target_id),
        service=check_text(service),
        slots=check_integer(slots),
        state=TargetState(state),
        started_ms=check_integer(started_ms),
        sequence=check_integer(sequence),
        is_reachable=check_flag(is_reachable),
        cold_until_ms=check_integer(cold_until_ms),
        is_failing=check_flag(is_failing),
        version=check_text(version, may_be_empty=True),
        work_ms=tuple(
            (check_text(rule_name), check_integer(milliseconds))
            for rule_name, milliseconds in work_ms
        ),
    )


def _parse_load(values):
    in_flight, waiting, wait_ms = values
    return TargetLoad(
        check_integer(in_flight),
        check_integer(waiting),
        check_number(wait_ms),
    )


def _parse_order(values):
    incarnation, sequence = values
    return check_integer(incarnation), check_integer(sequence)


def _check_digest(value):
    return check_integer(value, most=MAX_DIGEST)
