"""Steps that a node repeats for as long as it runs."""

import asyncio


async def run_periodically(step, period_s):
    """Run a step again and again until cancelled.

    Parameters
    ----------
    step : callable
        Takes no arguments and does not wait.
    period_s : float
        Wait between the end of a step and the next one, in seconds.
    """
    while True:
        step()
        await asyncio.sleep(period_s)
