"""Encoding of catalogue deltas that nodes send each other.

Records are encoded as lists without field names and compressed: the link of a small
instance carries a few hundred kilobytes per second and is shared with calls.
"""

import zlib

import attrs
import orjson

from gentianlink.core.errors import CodecError
from gentianlink.core.rule import Rule
from gentianlink.core.service_weight import ServiceWeight
from gentianlink.sidecar.rule_delta import RuleDelta

# Higher levels take several times as long and reduce the size by only a tenth.
COMPRESSION_LEVEL = 1


def encode_delta(delta):
    """Encode a catalogue delta.

    Parameters
    ----------
    delta : RuleDelta
        The delta.

    Returns
    -------
    bytes
        Nested JSON lists, compressed with zlib.
    """
    return zlib.compress(orjson.dumps(attrs.astuple(delta)), COMPRESSION_LEVEL)


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
    base, version, rules, dropped, services, idle_timeout_ms = values
    return RuleDelta(
        base=int(base),
        version=int(version),
        rules=tuple(_parse_rule(rule) for rule in rules),
        dropped=tuple((str(host), str(prefix)) for host, prefix in dropped),
        services=tuple(str(name) for name in services),
        idle_timeout_ms=float(idle_timeout_ms),
    )


def _parse_rule(values):
    *fields, split = values
    weights = tuple(ServiceWeight(str(name), float(weight)) for name, weight in split)
    return Rule(*fields, split=weights)
