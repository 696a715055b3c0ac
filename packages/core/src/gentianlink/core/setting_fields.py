"""Types of settings, as attrs fields with a parser in their metadata."""

import ipaddress
import re
import urllib.parse

import attrs

from gentianlink.core.field_checks import MAX_PORT

PARSE = "parse"
ALLOWED = "allowed"
RELOADABLE = "reloadable"

NAME_ALLOWED = "1 to 64 letters, digits, '.', '_' or '-', first a letter or digit"
_INTEGER = re.compile(r"-?[0-9]{1,18}")
_DECIMAL = re.compile(r"[0-9]+(\.[0-9]+)?")
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")


def _make_field(parse, allowed, default=attrs.NOTHING, reloadable=False):
    metadata = {PARSE: parse, ALLOWED: allowed, RELOADABLE: reloadable}
    return attrs.field(default=default, metadata=metadata)


def is_name(value):
    """Return whether a string is a valid name of a node, region, data centre or entry.

    Parameters
    ----------
    value : str
        The string.

    Returns
    -------
    bool
        True for 1 to 64 ASCII letters, digits, dots, hyphens and underscores, of
        which the first is a letter or digit.
    """
    return _NAME.fullmatch(value) is not None


def integer(low, high, default=attrs.NOTHING, reloadable=False):
    """Return a field for an integer.

    Parameters
    ----------
    low : int
        Smallest allowed value.
    high : int
        Largest allowed value.
    default : int, optional
        Value if the key is missing.
    reloadable : bool, optional
        Whether a running process applies a new value on reload.

    Returns
    -------
    attrs field
        Field with the parser and the description in its metadata.
    """
    parse = _make_number_parser(_INTEGER, int, low, high)
    allowed = f"whole number from {low} to {high}"
    return _make_field(parse, allowed, default, reloadable)


def decimal(low, high, default=attrs.NOTHING):
    """Return a field for a decimal number.

    Parameters
    ----------
    low : float
        Smallest allowed value.
    high : float
        Largest allowed value.
    default : float, optional
        Value if the key is missing.

    Returns
    -------
    attrs field
        Field with the parser and the description in its metadata.
    """
    parse = _make_number_parser(_DECIMAL, float, low, high)
    return _make_field(parse, f"number from {low} to {high}", default)


def _make_number_parser(pattern, convert, low, high):
    def parse(value):
        if not pattern.fullmatch(value):
            raise ValueError(value)
        number = convert(value)
        if not low <= number <= high:
            raise ValueError(value)
        return number

    return parse


def text(default=attrs.NOTHING):
    """Return a field for a word without white space.

    Parameters
    ----------
    default : str, optional
        Value if the key is missing.

    Returns
    -------
    attrs field
        Field with the parser and the description in its metadata.
    """

    def parse(value):
        if not value or any(character.isspace() for character in value):
            raise ValueError(value)
        return value

    return _make_field(parse, "a word without white space", default)


def choice(*values, default=attrs.NOTHING, reloadable=False):
    """Return a field for one of several words.

    Parameters
    ----------
    *values : str
        Allowed words.
    default : str, optional
        Value if the key is missing.
    reloadable : bool, optional
        Whether a running process applies a new value on reload.

    Returns
    -------
    attrs field
        Field with the parser and the description in its metadata.
    """

    def parse(value):
        if value not in values:
            raise ValueError(value)
        return value

    return _make_field(parse, "one of " + ", ".join(values), default, reloadable)


def url(default=attrs.NOTHING):
    """Return a field for an HTTP or HTTPS URL.

    Parameters
    ----------
    default : str, optional
        Value if the key is missing.

    Returns
    -------
    attrs field
        Field with the parser and the description in its metadata.
    """
    return _make_field(_parse_url, _URL_ALLOWED, default)


_URL_ALLOWED = "an address that starts with http:// or https://"


def _parse_url(value):
    if not value.isascii() or not value.isprintable() or " " in value:
        raise ValueError(value)
    parts = urllib.parse.urlsplit(value)
    if parts.scheme not in ("http", "https") or not parts.hostname:
        raise ValueError(value)
    if parts.port == 0 or parts.query or parts.fragment or "@" in parts.netloc:
        raise ValueError(value)
    return value.rstrip("/")


def url_list(default=attrs.NOTHING):
    """Return a field for a comma-separated list of HTTP or HTTPS URLs.

    Parameters
    ----------
    default : tuple of str, optional
        Value if the key is missing.

    Returns
    -------
    attrs field
        Field with the parser and the description in its metadata.
    """

    def parse(value):
        return tuple(_parse_url(part.strip()) for part in value.split(","))

    return _make_field(parse, "addresses that start with http:// or https://", default)


def name(default=attrs.NOTHING):
    """Return a field for a name that :func:`is_name` accepts.

    Parameters
    ----------
    default : str, optional
        Value if the key is missing.

    Returns
    -------
    attrs field
        Field with the parser and the description in its metadata.
    """

    def parse(value):
        if not is_name(value):
            raise ValueError(value)
        return value

    return _make_field(parse, NAME_ALLOWED, default)


def ip_address(default=attrs.NOTHING):
    """Return a field for the IP address of this instance.

    Parameters
    ----------
    default : str, optional
        Value if the key is missing.

    Returns
    -------
    attrs field
        Field with the parser and the description in its metadata.
    """

    def parse(value):
        address = ipaddress.ip_address(value)
        if address.is_unspecified or address.is_multicast:
            raise ValueError(value)
        return value

    return _make_field(parse, "an IP address that other nodes can reach", default)


def endpoint(default=attrs.NOTHING):
    """Return a field for an ``address:port``.

    Parameters
    ----------
    default : str, optional
        Value if the key is missing.

    Returns
    -------
    attrs field
        Field with the parser and the description in its metadata.
    """

    def parse(value):
        _check_address(value)
        return value

    return _make_field(parse, "an address such as 127.0.0.1:7100", default)


def port_range(default=attrs.NOTHING):
    """Return a field for a range of TCP ports, given as ``first,last``.

    Parameters
    ----------
    default : tuple of int, optional
        Value if the key is missing.

    Returns
    -------
    attrs field
        Field with the parser and the description in its metadata.
    """

    def parse(value):
        first, last = (int(part) for part in value.split(","))
        if not 0 < first <= last <= MAX_PORT:
            raise ValueError(value)
        return first, last

    return _make_field(parse, "two ports such as 7100,7110", default)


def boolean(default=attrs.NOTHING):
    """Return a field for ``true`` or ``false``.

    Parameters
    ----------
    default : bool, optional
        Value if the key is missing.

    Returns
    -------
    attrs field
        Field with the parser and the description in its metadata.
    """

    def parse(value):
        if value.lower() not in ("true", "false"):
            raise ValueError(value)
        return value.lower() == "true"

    return _make_field(parse, "true or false", default)


def address_list(default=attrs.NOTHING):
    """Return a field for a comma-separated list of ``address:port``.

    Parameters
    ----------
    default : tuple of str, optional
        Value if the key is missing.

    Returns
    -------
    attrs field
        Field with the parser and the description in its metadata.
    """

    def parse(value):
        addresses = tuple(part.strip() for part in value.split(",") if part.strip())
        for address in addresses:
            _check_address(address)
        return addresses

    return _make_field(
        parse, "addresses such as 127.0.0.1:7100, 127.0.0.1:7101", default
    )


def _check_address(address):
    host, _, port = address.rpartition(":")
    ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    if not _INTEGER.fullmatch(port) or not 0 < int(port) <= MAX_PORT:
        raise ValueError(address)
