"""Encoding of catalogue deltas that nodes send each other.

Records are encoded as lists without field names and compressed: the link of a small
instance carries a few hundred kilobytes per second and is shared with calls.
"""

import zlib

import attrs
import orjson

from gentianlink.core.errors import CodecError
from gentianlink.core.field_checks import UNREADABLE, explain
from gentianlink.core.rule import Rule
from gentianlink.core.rule_set import UNLIMITED_BYTES
from gentianlink.core.service_weight import ServiceWeight
from gentianlink.core.tenant import Tenant
from gentianlink.sidecar.exchange.peer_codec import (
    FORM_CRASHES,
    FORM_FIRST,
    FORM_RECORDS,
    FORM_VERSIONS,
)
from gentianlink.sidecar.rule_delta import RuleDelta

# Higher levels take several times as long and reduce the size by only a tenth.
COMPRESSION_LEVEL = 1

# Positions of the rules in an encoded delta, and of the split in an encoded rule.
RULES_POSITION = 2
SPLIT_POSITION = 8

# Nodes of earlier releases accept the values of a delta before this position.
VALUES_BY_FORM = {FORM_CRASHES: 7, FORM_RECORDS: 7, FORM_FIRST: 6}


def encode_delta(delta, form=FORM_VERSIONS):
    """Encode a catalogue delta.

    Parameters
    ----------
    delta : RuleDelta
        The delta.
    form : int, optional
        Form of messages that the receiver accepts: what is newer is left out.

    Returns
    -------
    bytes
        Nested JSON lists, compressed with zlib.
    """
    values = list(attrs.astuple(delta))
    is_earlier = form in VALUES_BY_FORM
    values[RULES_POSITION] = [
        attrs.astuple(rule)[: None if rule.is_public and not is_earlier else -1]
        for rule in delta.rules
    ]
    if is_earlier:
        values = values[: VALUES_BY_FORM[form]]
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
    except (*UNREADABLE, zlib.error) as error:
        raise CodecError(explain(error)) from error


def _parse_delta(values):
    base, version, rules, dropped, services, idle_timeout_ms, *rest = values
    max_body_bytes, *rest = rest or [UNLIMITED_BYTES]
    tenants, dropped_tenants = rest or [None, ()]
    return RuleDelta(
        base=int(base),
        version=int(version),
        rules=tuple(_parse_rule(rule) for rule in rules),
        dropped=tuple((str(host), str(prefix)) for host, prefix in dropped),
        services=tuple(str(name) for name in services),
        idle_timeout_ms=float(idle_timeout_ms),
        max_body_bytes=int(max_body_bytes),
        tenants=None if tenants is None else tuple(map(_parse_tenant, tenants)),
        dropped_tenants=tuple(str(name) for name in dropped_tenants),
    )


def _parse_rule(values):
    fields, (split, *rest) = values[:SPLIT_POSITION], values[SPLIT_POSITION:]
    weights = tuple(ServiceWeight(str(name), float(weight)) for name, weight in split)
    return Rule(*fields, split=weights, is_public=bool(rest and rest[0]))


def _parse_tenant(values):
    name, keys, priority, rate_per_s, burst = values
    return Tenant(
        name=str(name),
        keys=tuple(str(key) for key in keys),
        priority=None if priority is None else int(priority),
        rate_per_s=float(rate_per_s),
        burst=float(burst),
    )
