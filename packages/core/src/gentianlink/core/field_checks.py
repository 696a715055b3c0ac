"""Checks of single values that come from outside: type, range and length.

A decoder checks each field once, where its bytes enter, so that a value never meets a
limit later: that of a socket call, of an encoding, or of a sum of times.
"""

import contextlib
import math
import reprlib

from gentianlink.core.errors import CodecError

# What reading an untrusted value may raise; deep nesting ends in a RecursionError.
UNREADABLE = (
    ValueError,
    TypeError,
    AttributeError,
    LookupError,
    ArithmeticError,
    RecursionError,
)
MAX_TEXT_LENGTH = 256
# Integers up to this size are exact in all encodings.
MAX_INTEGER = 1 << 53
MAX_NUMBER = 1e12
MAX_PORT = 65_535
# Largest priority, and largest number of attempts.
MAX_RANK = 1_000_000
# Time by which a start may lie in the future of this machine's clock.
MAX_AHEAD_MS = 3_600_000


def describe(value):
    """Return a value as a short text for a log line or an error."""
    return reprlib.repr(value)


def explain(error):
    """Return what was wrong with a value, in a length that suits a log line.

    Parameters
    ----------
    error : Exception
        One of ``UNREADABLE``.

    Returns
    -------
    str
        Kind of the error and the beginning of its message.
    """
    return f"{type(error).__name__}: {str(error)[:MAX_TEXT_LENGTH]}"


@contextlib.contextmanager
def decoding():
    """Raise a CodecError in place of any error of ``UNREADABLE`` within the context."""
    try:
        yield
    except UNREADABLE as error:
        raise CodecError(explain(error)) from error


def name_word(value):
    """Return a word that may be of any type in later releases as a text."""
    return value[:MAX_TEXT_LENGTH] if isinstance(value, str) else describe(value)


def check_text(value, longest=MAX_TEXT_LENGTH, may_be_empty=False):
    """Return a value if it is a text of an acceptable length.

    Parameters
    ----------
    value : object
        The value.
    longest : int, optional
        Largest number of characters.
    may_be_empty : bool, optional
        Whether an empty text is accepted.

    Returns
    -------
    str
        The value.

    Raises
    ------
    TypeError
        If it is no text.
    ValueError
        If it is too long, or empty.
    """
    if type(value) is not str:
        raise TypeError(f"{describe(value)} is not a text")
    if len(value) > longest or not (value or may_be_empty):
        raise ValueError(f"text of {len(value)} characters: {describe(value)}")
    return value


def check_integer(value, least=0, most=MAX_INTEGER):
    """Return a value if it is an integer within a range; bool is not accepted.

    Raises
    ------
    TypeError
        If it is no integer.
    ValueError
        If it is out of range.
    """
    if type(value) is not int:
        raise TypeError(f"{describe(value)} is not an integer")
    if not least <= value <= most:
        raise ValueError(f"{value} is not from {least} to {most}")
    return value


def check_rank(value):
    """Return a value if it is an integer that suits a priority or a small number.

    Raises
    ------
    TypeError
        If it is no integer.
    ValueError
        If it is out of range.
    """
    return check_integer(value, -MAX_RANK, MAX_RANK)


def check_number(value, least=0.0, most=MAX_NUMBER):
    """Return a number within a range as a float; bool is not accepted.

    Raises
    ------
    TypeError
        If it is no number.
    ValueError
        If it is out of range or not finite.
    """
    if type(value) not in (int, float):
        raise TypeError(f"{describe(value)} is not a number")
    number = float(value)
    if not math.isfinite(number) or not least <= number <= most:
        raise ValueError(f"{number} is not from {least} to {most}")
    return number


def check_flag(value):
    """Return a value if it is a truth value, else raise a TypeError."""
    if type(value) is not bool:
        raise TypeError(f"{describe(value)} is not a truth value")
    return value


def check_address(value):
    """Return a value if it is a host and a port that a socket accepts.

    Parameters
    ----------
    value : object
        The value, such as ``"10.0.0.1:80"``.

    Returns
    -------
    str
        The value.

    Raises
    ------
    TypeError
        If it is no text.
    ValueError
        If the host is missing or the port is out of range.
    """
    host, _, port = check_text(value).rpartition(":")
    is_port = port.isascii() and port.isdigit() and 1 <= int(port[:6]) <= MAX_PORT
    if not host or not host.isascii() or not host.isprintable() or not is_port:
        raise ValueError(f"{describe(value)} is not an address with a port")
    return value


def is_from_future(started_ms, wall_ms):
    """Return whether a start lies so far ahead that nothing true could exceed it.

    Parameters
    ----------
    started_ms : int
        Start of a process in milliseconds since the epoch.
    wall_ms : int
        Present time in milliseconds since the epoch.

    Returns
    -------
    bool
        True if it is later than clocks may differ.
    """
    return started_ms > wall_ms + MAX_AHEAD_MS
