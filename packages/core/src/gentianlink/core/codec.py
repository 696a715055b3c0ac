"""Canonical encoding of the data types, and digests over it."""

import hashlib

import cattrs
import orjson

from gentianlink.core.errors import CodecError

_DECODE_ERRORS = (
    cattrs.BaseValidationError,
    ValueError,
    TypeError,
    KeyError,
    AttributeError,
    OverflowError,
)
_CONVERTER = cattrs.Converter(forbid_extra_keys=True)


def encode(value):
    """Encode a value of an attrs class.

    Parameters
    ----------
    value : object
        Instance of one of the data types.

    Returns
    -------
    bytes
        JSON with sorted keys, the same for equal values.
    """
    plain = _CONVERTER.unstructure(value)
    return orjson.dumps(plain, option=orjson.OPT_SORT_KEYS)


def decode(data, data_type):
    """Decode bytes from outside.

    Parameters
    ----------
    data : bytes
        Output of :func:`encode`.
    data_type : type
        Expected attrs class.

    Returns
    -------
    object
        Instance of `data_type`.

    Raises
    ------
    CodecError
        If the bytes are not a value of `data_type`.
    """
    try:
        return _CONVERTER.structure(orjson.loads(data), data_type)
    except _DECODE_ERRORS as error:
        message = f"not a {data_type.__name__}: {type(error).__name__}"
        raise CodecError(message) from error


def compute_digest(value):
    """Return the digest that names a value's content.

    Parameters
    ----------
    value : object
        Instance of one of the data types.

    Returns
    -------
    str
        SHA-256 of the canonical encoding, in hexadecimal.
    """
    return hashlib.sha256(encode(value)).hexdigest()
