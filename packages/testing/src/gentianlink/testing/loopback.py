"""Loopback addresses and ports that no other running process of ours uses."""

import itertools
import os

FIRST_PORT = 20_000
HOSTS_PER_BYTE = 250

_PORTS = itertools.count(FIRST_PORT)


def get_loopback_address(process_id, number):
    """Return a loopback IP number of its own for one process.

    Parameters
    ----------
    process_id : int
        Process that starts the stand-ins.
    number : int
        Number of the address within the process, from 1 to 250.

    Returns
    -------
    str
        The IP number.
    """
    second = 1 + process_id // HOSTS_PER_BYTE % HOSTS_PER_BYTE
    third = 1 + process_id % HOSTS_PER_BYTE
    return f"127.{second}.{third}.{number}"


def get_own_address(number):
    """Return a loopback IP number that only this process uses.

    Parameters
    ----------
    number : int
        Number of the address within the process, from 1 to 250.

    Returns
    -------
    str
        The IP number.
    """
    return get_loopback_address(os.getpid(), number)


def get_ports(count):
    """Return TCP ports below the ephemeral range, each given out once.

    Parameters
    ----------
    count : int
        Number of ports.

    Returns
    -------
    list of int
        The ports.
    """
    return list(itertools.islice(_PORTS, count))
