"""Encoding of changes of the catalogue between nodes.

Fields go by place and are compressed: links of small instances carry a few hundred
kilobytes a second, and calls share them.
"""

import zlib

import attrs
import orjson

from gentianlink.core.errors import CodecError
from gentianlink.core.rule import Rule
from gentianlink.core.service_weight import ServiceWeight
from gentianlink.sidecar.rule_change import RuleChange

# Higher levels take several times as long for a tenth less.
COMPRESSION_LEVEL = 1


def encode_change(change):
    """Encode a change of the catalogue.

    Parameters
    ----------
    change : RuleChange
        The change.

    Returns
    -------
    bytes
        Compressed JSON lists.
    """
    return zlib.compress(orjson.dumps(attrs.astuple(change)), COMPRESSION_LEVEL)


def decode_change(data):
    """Decode a change of the catalogue.

    Parameters
    ----------
    data : bytes
        Output of :func:`encode_change`.

    Returns
    -------
    RuleChange
        The change.

    Raises
    ------
    CodecError
        If the bytes are no such change.
    """
    try:
        return _read_change(orjson.loads(zlib.decompress(data)))
    except (ValueError, TypeError, zlib.error) as error:
        raise CodecError(f"{type(error).__name__}: {error}") from error


def _read_change(values):
    base, version, rules, dropped, services, idle_timeout_ms = values
    return RuleChange(
        base=int(base),
        version=int(version),
        rules=tuple(_read_rule(rule) for rule in rules),
        dropped=tuple((str(host), str(prefix)) for host, prefix in dropped),
        services=tuple(str(name) for name in services),
        idle_timeout_ms=float(idle_timeout_ms),
    )


def _read_rule(values):
    *fields, split = values
    weights = tuple(ServiceWeight(str(name), float(weight)) for name, weight in split)
    return Rule(*fields, split=weights)
