"""Wait until every node enforces a version."""

import asyncio

import typer

from gentianlink.core.errors import PlatformError
from gentianlink.tools.errors import NodeUnreachable, NoNodeFound, WaitTimeout
from gentianlink.tools.fleet_convergence import FleetConvergence

POLL_INTERVAL_S = 0.1


async def wait_until_in_force(nodes, version, timeout_s, show_progress):
    """Wait until every live node enforces a version.

    Parameters
    ----------
    nodes : NodeClient
        Admin ports.
    version : int
        The version.
    timeout_s : float
        Longest wait in seconds.
    show_progress : callable
        Called with each convergence that differs from the one before.

    Returns
    -------
    FleetConvergence
        The complete convergence.

    Raises
    ------
    WaitTimeout
        If some nodes are still behind after `timeout_s`.
    NoNodeFound
        If no node answered within `timeout_s`.
    """
    convergence = FleetConvergence(version, 0, 0, (), False)
    failure = None
    try:
        async with asyncio.timeout(timeout_s):
            while not convergence.complete:
                try:
                    latest = await nodes.read_convergence(version)
                except (NodeUnreachable, NoNodeFound, PlatformError) as error:
                    failure = error
                    await asyncio.sleep(POLL_INTERVAL_S)
                    continue
                if latest != convergence:
                    show_progress(latest)
                convergence = latest
                if not convergence.complete:
                    await asyncio.sleep(POLL_INTERVAL_S)
    except TimeoutError as error:
        if convergence.nodes == 0 and failure is not None:
            raise failure from error
        raise WaitTimeout(convergence) from error
    return convergence


def print_progress(convergence):
    """Print a convergence on standard error.

    Parameters
    ----------
    convergence : FleetConvergence
        The convergence.
    """
    counts = f"{convergence.in_force} of {convergence.nodes}"
    text = f"version {convergence.version}: in force on {counts} nodes"
    typer.echo(text, err=True)
