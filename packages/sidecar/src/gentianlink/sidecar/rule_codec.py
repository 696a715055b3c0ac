"""Encoding of catalogue deltas that nodes send each other.

Records are encoded as lists without field names and compressed: the link of a small
instance carries a few hundred kilobytes per second and is shared with calls.
"""

import zlib

import attrs
import orjson

from gentianlink.core.errors import CodecError
from gentianlink.core.rule import Rule
from gentianlink.core.rule_set import UNLIMITED_BYTES
from gentianlink.core.service_weight import ServiceWeight
from gentianlink.sidecar.rule_delta import RuleDelta

# Higher levels take several times as long and reduce the size by only a tenth.
COMPRESSION_LEVEL = 1

# Nodes of earlier releases accept only the values before this position.
FIRST_NEW_VALUE = 6


def encode_delta(delta, is_for_earlier_release=False):
    """Encode a catalogue delta.

    Parameters
    ----------
    delta : RuleDelta
        The delta.
    is_for_earlier_release : bool, optional
        Whether to leave out what nodes of earlier releases do not accept.

    Returns
    -------
    bytes
        Nested JSON lists, compressed with zlib.
    """
    values = attrs.astuple(delta)
    if is_for_earlier_release:
        values = values[:FIRST_NEW_VALUE]
    return zlib.compress(orjson.dumps(values), COMPRESSION_LEVEL)


def decode_delta(data):
    """Decode a catalogue delta.

    Parameters
    ----------
    data : bytes
        Output of :func:`encode_delta`.

    Returns
    -------
    RuleDelta
        The delta.

    Raises
    ------
    CodecError
        If the data is not an encoded delta.
    """
    try:
        return _parse_delta(orjson.loads(zlib.decompress(data)))
    except (ValueError, TypeError, zlib.error) as error:
        raise CodecError(f"{type(error).__name__}: {error}") from error


def _parse_delta(values):
    base, version, rules, dropped, services, idle_timeout_ms, *rest = values
    [max_body_bytes] = rest or [UNLIMITED_BYTES]
    return RuleDelta(
        base=int(base),
        version=int(version),
        rules=tuple(_parse_rule(rule) for rule in rules),
        dropped=tuple((str(host), str(prefix)) for host, prefix in dropped),
        services=tuple(str(name) for name in services),
        idle_timeout_ms=float(idle_timeout_ms),
        max_body_bytes=int(max_body_bytes),
    )


def _parse_rule(values):
    *fields, split = values
    weights = tuple(ServiceWeight(str(name), float(weight)) for name, weight in split)
    return Rule(*fields, split=weights)
