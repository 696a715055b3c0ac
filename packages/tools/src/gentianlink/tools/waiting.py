"""Wait until every node enforces a version."""

import asyncio

import typer

from gentianlink.core.errors import PlatformError
from gentianlink.tools.errors import NodeUnreachable, NoNodeFound, WaitTimeout
from gentianlink.tools.fleet_convergence import FleetConvergence

POLL_S = 0.1


async def wait_until_in_force(nodes, version, timeout_s, show_progress):
    """Wait until every live node enforces a version.

    Parameters
    ----------
    nodes : NodeClient
        Admin ports.
    version : int
        The version.
    timeout_s : float
        Bound in seconds.
    show_progress : callable
        Called with each convergence that differs from the one before.

    Returns
    -------
    FleetConvergence
        The complete convergence.

    Raises
    ------
    WaitTimeout
        If the bound passes.
    NoNodeFound
        If no node answered in that time.
    """
    seen = FleetConvergence(version, 0, 0, (), False)
    failure = None
    try:
        async with asyncio.timeout(timeout_s):
            while not seen.complete:
                try:
                    now_seen = await nodes.read_convergence(version)
                except (NodeUnreachable, NoNodeFound, PlatformError) as error:
                    failure = error
                    await asyncio.sleep(POLL_S)
                    continue
                if now_seen != seen:
                    show_progress(now_seen)
                seen = now_seen
                if not seen.complete:
                    await asyncio.sleep(POLL_S)
    except TimeoutError as error:
        if seen.nodes == 0 and failure is not None:
            raise failure from error
        raise WaitTimeout(seen) from error
    return seen


def print_progress(convergence):
    """Print how far a version has spread, on standard error.

    Parameters
    ----------
    convergence : FleetConvergence
        What was seen.
    """
    counts = f"{convergence.in_force} of {convergence.nodes}"
    text = f"version {convergence.version}: in force on {counts} nodes"
    typer.echo(text, err=True)
