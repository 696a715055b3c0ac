"""Canonical JSON encoding of the data types, and digests of it."""

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
    """Encode an instance of an attrs class.

    Parameters
    ----------
    value : object
        Instance of one of the data types.

    Returns
    -------
    bytes
        JSON with sorted keys; equal values give equal bytes.
    """
    unstructured = _CONVERTER.unstructure(value)
    return orjson.dumps(unstructured, option=orjson.OPT_SORT_KEYS)


def decode(data, data_type):
    """Decode untrusted bytes.

    Parameters
    ----------
    data : bytes
        Bytes in the format of :func:`encode`.
    data_type : type
        Expected attrs class.

    Returns
    -------
    object
        Instance of `data_type`.

    Raises
    ------
    CodecError
        If the bytes do not decode to `data_type`.
    """
    try:
        return _CONVERTER.structure(orjson.loads(data), data_type)
    except _DECODE_ERRORS as error:
        message = f"does not decode to {data_type.__name__}: {type(error).__name__}"
        raise CodecError(message) from error


def compute_digest(value):
    """Return the content digest of a value.

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
