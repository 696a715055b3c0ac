"""Kinds of settings: each gives an attrs field that knows how to parse its text."""

import urllib.parse

import attrs

PARSE = "parse"
ALLOWED = "allowed"


def _make_field(parse, allowed, default=attrs.NOTHING):
    metadata = {PARSE: parse, ALLOWED: allowed}
    return attrs.field(default=default, metadata=metadata)


def integer(low, high, default=attrs.NOTHING):
    """Return a field for a whole number.

    Parameters
    ----------
    low : int
        Smallest allowed value.
    high : int
        Largest allowed value.
    default : int, optional
        Value of a missing key.

    Returns
    -------
    attrs field
        Field whose metadata parse and describe the setting.
    """

    def parse(value):
        number = int(value)
        if not low <= number <= high:
            raise ValueError(value)
        return number

    return _make_field(parse, f"whole number from {low} to {high}", default)


def text(default=attrs.NOTHING):
    """Return a field for a word without white space.

    Parameters
    ----------
    default : str, optional
        Value of a missing key.

    Returns
    -------
    attrs field
        Field whose metadata parse and describe the setting.
    """

    def parse(value):
        if not value or any(character.isspace() for character in value):
            raise ValueError(value)
        return value

    return _make_field(parse, "a word without white space", default)


def choice(*values, default=attrs.NOTHING):
    """Return a field for one of several words.

    Parameters
    ----------
    *values : str
        Allowed words.
    default : str, optional
        Value of a missing key.

    Returns
    -------
    attrs field
        Field whose metadata parse and describe the setting.
    """

    def parse(value):
        if value not in values:
            raise ValueError(value)
        return value

    return _make_field(parse, "one of " + ", ".join(values), default)


def url(default=attrs.NOTHING):
    """Return a field for an HTTP address.

    Parameters
    ----------
    default : str, optional
        Value of a missing key.

    Returns
    -------
    attrs field
        Field whose metadata parse and describe the setting.
    """

    def parse(value):
        parts = urllib.parse.urlsplit(value)
        if parts.scheme not in ("http", "https") or not parts.hostname:
            raise ValueError(value)
        return value.rstrip("/")

    return _make_field(
        parse, "an address that starts with http:// or https://", default
    )


def address_list(default=attrs.NOTHING):
    """Return a field for a list of ``address:port`` separated by commas.

    Parameters
    ----------
    default : tuple of str, optional
        Value of a missing key.

    Returns
    -------
    attrs field
        Field whose metadata parse and describe the setting.
    """

    def parse(value):
        addresses = tuple(part.strip() for part in value.split(",") if part.strip())
        for address in addresses:
            host, _, port = address.rpartition(":")
            if not host or not 0 < int(port) < 65536:
                raise ValueError(address)
        return addresses

    return _make_field(
        parse, "addresses such as 127.0.0.1:7100, 127.0.0.1:7101", default
    )
