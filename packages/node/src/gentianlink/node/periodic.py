"""Periodic execution of functions."""

import asyncio


async def run_periodically(step, period_s):
    """Run a function periodically until cancelled.

    Parameters
    ----------
    step : callable
        Takes no arguments and does not block.
    period_s : float
        Time between the end of a run and the next one, in seconds.
    """
    while True:
        step()
        await asyncio.sleep(period_s)
