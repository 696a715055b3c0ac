"""Decoder for the deployment-wide bounds in the settings."""

from gentianlink.core.bounds import Bounds
from gentianlink.core.errors import CodecError

MS_PER_S = 1000
_FIELDS = {
    "drain_s": ("drain_ms", MS_PER_S),
    "grace_s": ("grace_ms", MS_PER_S),
    "budget_ratio": ("retry_ratio", 1),
    "budget_window_s": ("retry_window_ms", MS_PER_S),
    "budget_extra": ("retry_extra", 1),
}


def decode_bounds(text):
    """Decode comma-separated ``name=value`` pairs; ignore unknown names.

    Parameters
    ----------
    text : str
        Comma-separated pairs.

    Returns
    -------
    Bounds
        The bounds, with defaults for missing names.

    Raises
    ------
    CodecError
        If the value of a known name is not a number.
    """
    values = {}
    for pair in text.split(","):
        name, _, value = pair.strip().partition("=")
        if name not in _FIELDS:
            continue
        field, factor = _FIELDS[name]
        try:
            values[field] = float(value) * factor
        except ValueError as error:
            raise CodecError(f"{name}: {value!r} is not a number") from error
    return Bounds(**values)
