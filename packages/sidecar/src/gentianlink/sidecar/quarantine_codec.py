"""Encoding of quarantined requests as rows of the table service."""

import attrs
import orjson

from gentianlink.core.field_checks import check_integer, check_text, decoding
from gentianlink.sidecar.quarantine import QuarantinedRequest

KEY_PREFIX = "quarantine/"


def get_key(request):
    """Return the key of a request's row."""
    return KEY_PREFIX + request.content


def encode_request(request):
    """Encode a quarantined request as the value of its row."""
    return orjson.dumps(attrs.asdict(request)).decode()


def decode_request(data):
    """Decode the value of a quarantined request's row.

    Parameters
    ----------
    data : str or bytes
        Output of :func:`encode_request`.

    Returns
    -------
    QuarantinedRequest
        The request.

    Raises
    ------
    CodecError
        If the data is not an encoded request.
    """
    with decoding():
        values = orjson.loads(data)
        return QuarantinedRequest(
            content=check_text(values["content"]),
            callers=tuple(check_text(item) for item in values["callers"]),
            crashes=tuple(
                (check_text(name), check_integer(start))
                for name, start in values["crashes"]
            ),
        )
