"""Decoder for the deployment-wide bounds in the settings."""

import orjson

from gentianlink.core.bounds import Bounds
from gentianlink.core.errors import CodecError

MS_PER_S = 1000
_FIELDS = {
    "drain_s": ("drain_ms", MS_PER_S),
    "grace_s": ("grace_ms", MS_PER_S),
    "budget_ratio": ("retry_ratio", 1),
    "budget_window_s": ("retry_window_ms", MS_PER_S),
    "budget_extra": ("retry_extra", 1),
    "quota_window_s": ("quota_window_ms", MS_PER_S),
    "quota_overage": ("quota_overage", 1),
    "quota_slack": ("quota_slack", 1),
    "expose_share": ("expose_share", 1),
    "expose_slack": ("expose_slack", 1),
    "rollback_s": ("rollback_ms", MS_PER_S),
}


def decode_bounds(text):
    """Decode a JSON object, or comma-separated ``name=value`` pairs.

    Unknown names are ignored.

    Parameters
    ----------
    text : str
        The object or the pairs.

    Returns
    -------
    Bounds
        The bounds, with defaults for missing names.

    Raises
    ------
    CodecError
        If the text is not a JSON object, or the value of a known name is not a
        number.
    """
    values = {}
    for name, value in _list_pairs(text):
        if name not in _FIELDS:
            continue
        field, factor = _FIELDS[name]
        try:
            values[field] = float(value) * factor
        except (ValueError, TypeError) as error:
            raise CodecError(f"{name}: {value!r} is not a number") from error
    return Bounds(**values)


def _list_pairs(text):
    # A settings template renders a table of fields as a JSON object.
    if text.lstrip().startswith("{"):
        try:
            return list(orjson.loads(text).items())
        except ValueError as error:
            raise CodecError(f"not a JSON object: {error}") from error
    pairs = [pair.strip().partition("=") for pair in text.split(",")]
    return [(name, value) for name, _, value in pairs]
