"""Decoder for the operator's row that contains the catalogue."""

import orjson

from gentianlink.core.field_checks import (
    check_integer,
    check_number,
    check_rank,
    check_text,
    decoding,
    describe,
    name_word,
)
from gentianlink.core.rule import Rule
from gentianlink.core.rule_set import UNLIMITED_BYTES, RuleSet
from gentianlink.core.service_weight import ServiceWeight
from gentianlink.platform.tenant_codec import decode_tenants

MS_PER_S = 1000
KIND_REPEATABLE = "safe"
# Calls of every other kind, known or not, are executed at most once.
KINDS = (KIND_REPEATABLE, "unsafe", "upload")
DEFAULT_IDLE_TIMEOUT_S = 60
VERSION_PREFIX = "r"


def decode_rule_set(data):
    """Decode a version of the catalogue.

    Parameters
    ----------
    data : bytes
        Content of the operator's row.

    Returns
    -------
    RuleSet
        Rules of the version.

    Raises
    ------
    CodecError
        If the content is malformed, a rule refers to an undefined service, or two
        tenants share a key.
    """
    with decoding():
        value = orjson.loads(data)
        version = _decode_version(value["version"])
        services = frozenset(
            check_text(row["name"]) for row in _decode_table(value["services"])
        )
        rows = _decode_table(value["routes"])
        rules = [_decode_rule(row, services) for row in rows]
        kinds = {name_word(row["kind"]) for row in rows}
        unknown_kinds = tuple(sorted(kinds.difference(KINDS)))
        limits = value.get("limits") or {}
        idle_s = check_number(limits.get("idle_timeout_s") or DEFAULT_IDLE_TIMEOUT_S)
        idle_ms = idle_s * MS_PER_S
        max_body_bytes = check_integer(
            limits.get("max_body_bytes") or UNLIMITED_BYTES, most=UNLIMITED_BYTES
        )
        tenants = None
        if value.get("tenants") is not None:
            tenants = decode_tenants(_decode_table(value["tenants"]))
    rules_by_location = {}
    for rule in rules:
        rules_by_location.setdefault((rule.host, rule.prefix), rule)
    return RuleSet(
        version,
        rules_by_location,
        services,
        idle_ms,
        max_body_bytes,
        unknown_kinds,
        tenants,
    )


def _decode_version(text):
    if not text.startswith(VERSION_PREFIX):
        raise ValueError(f"malformed version {describe(text)}")
    return check_integer(int(text[len(VERSION_PREFIX) :]))


def _decode_table(table):
    columns = table["columns"]
    return [dict(zip(columns, row, strict=True)) for row in table["rows"]]


def _decode_rule(row, services):
    prefix = row["prefix"]
    if not (prefix.startswith("/") and prefix.endswith("/")):
        raise ValueError(f"prefix without a slash at both ends: {describe(prefix)}")
    timeout_ms = check_number(row["timeout_s"]) * MS_PER_S
    # Latency objective: an answer within it has its full value. It is not a limit.
    latency_s = row.get("target_latency_s")
    latency_ms = timeout_ms if latency_s is None else check_number(latency_s) * MS_PER_S
    if not (timeout_ms > 0 and latency_ms > 0):
        raise ValueError(
            f"not above 0: timeout {timeout_ms} ms or latency {latency_ms} ms"
        )
    return Rule(
        name=check_text(row["name"]),
        host=check_text(row["host"]).lower(),
        prefix=prefix,
        is_repeatable=row["kind"] == KIND_REPEATABLE,
        timeout_ms=timeout_ms,
        target_latency_ms=latency_ms,
        priority=check_rank(row.get("priority") or 0),
        # Targets that one call may be sent to, including the first one.
        max_targets=max(1, check_rank(row.get("attempts") or 1)),
        split=_decode_split(row, services),
        is_public=row.get("public") is True,
    )


def _decode_split(row, services):
    items = row.get("traffic_split")
    if items:
        split = tuple(
            ServiceWeight(item["service"], check_number(item["weight"]))
            for item in items
        )
    else:
        split = (ServiceWeight(row["service"], 1.0),)
    for part in split:
        if part.service not in services:
            raise ValueError(f"unknown service {describe(part.service)}")
    if not sum(part.weight for part in split) > 0:
        raise ValueError("sum of weights is not above 0")
    return split
