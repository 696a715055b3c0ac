"""HTTP requests to the platform, with typed failures."""

import orjson
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest
from tornado.simple_httpclient import HTTPStreamClosedError, HTTPTimeoutError

from gentianlink.core.errors import (
    PlatformAnswerInvalid,
    PlatformOutcomeUnknown,
    PlatformUnavailable,
)

MAX_ANSWER_BYTES = 64 << 20
STATUS_SERVER_ERROR = 500
REFUSED_STATUSES = frozenset((429, 503))


async def send(method, url, timeout_ms, body=None):
    """Send one request.

    Parameters
    ----------
    method : str
        HTTP method.
    url : str
        Address of the request.
    timeout_ms : int
        Bound in milliseconds on the whole request.
    body : bytes, optional
        Body of the request.

    Returns
    -------
    tornado.httpclient.HTTPResponse
        Answer with a status below 500.

    Raises
    ------
    PlatformUnavailable
        If the request never reached the platform or was refused.
    PlatformOutcomeUnknown
        If no answer came.
    """
    client = AsyncHTTPClient(max_body_size=MAX_ANSWER_BYTES, max_clients=100)
    request = HTTPRequest(
        url,
        method=method,
        body=body,
        connect_timeout=timeout_ms / 1000,
        request_timeout=timeout_ms / 1000,
    )
    try:
        response = await client.fetch(request, raise_error=False)
    except ConnectionRefusedError as error:
        raise PlatformUnavailable("connection refused") from error
    except (HTTPTimeoutError, HTTPStreamClosedError) as error:
        raise PlatformOutcomeUnknown(str(error)) from error
    except (HTTPClientError, OSError) as error:
        raise PlatformOutcomeUnknown(type(error).__name__) from error
    if response.code in REFUSED_STATUSES:
        raise PlatformUnavailable(f"status {response.code}")
    if response.code >= STATUS_SERVER_ERROR:
        raise PlatformOutcomeUnknown(f"status {response.code}")
    return response


def compute_bytes(response):
    """Return the size of a request and its answer.

    Parameters
    ----------
    response : tornado.httpclient.HTTPResponse
        The answer.

    Returns
    -------
    int
        Bytes of the address, the bodies and the headers.
    """
    parts = [response.request.url, response.request.body or b"", response.body]
    for headers in (response.request.headers, response.headers):
        parts.extend(f"{name}: {value}\r\n" for name, value in headers.get_all())
    return sum(len(part) for part in parts)


def decode_json(response):
    """Decode the JSON body of an answer.

    Parameters
    ----------
    response : tornado.httpclient.HTTPResponse
        The answer.

    Returns
    -------
    dict
        The decoded object.

    Raises
    ------
    PlatformAnswerInvalid
        If the body is not a JSON object.
    """
    try:
        value = orjson.loads(response.body)
    except orjson.JSONDecodeError as error:
        raise PlatformAnswerInvalid("not JSON") from error
    if not isinstance(value, dict):
        raise PlatformAnswerInvalid("not a JSON object")
    return value
