"""Allocate loopback addresses and ports that no concurrent test run uses."""

import itertools
import os

FIRST_PORT = 20_000
ADDRESSES_PER_BYTE = 250

_PORTS = itertools.count(FIRST_PORT)


def get_loopback_address(process_id, number):
    """Return a loopback IP address that is derived from a process id.

    Process ids that differ by less than 62,500 get different addresses.

    Parameters
    ----------
    process_id : int
        Id of the process that starts the servers.
    number : int
        Number of the address within the process, from 1 to 250.

    Returns
    -------
    str
        The IP address.
    """
    second = 1 + process_id // ADDRESSES_PER_BYTE % ADDRESSES_PER_BYTE
    third = 1 + process_id % ADDRESSES_PER_BYTE
    return f"127.{second}.{third}.{number}"


def get_own_address(number):
    """Return a loopback IP address that only this process uses.

    Parameters
    ----------
    number : int
        Number of the address within the process, from 1 to 250.

    Returns
    -------
    str
        The IP address.
    """
    return get_loopback_address(os.getpid(), number)


def get_ports(count):
    """Allocate TCP ports below the ephemeral range, each only once per process.

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
