"""Event loop with virtual time, which advances only when no callback is ready.

Load models run in it: simulated hours take little real time, and a run is determined
by its seed, not by the speed of the processor.
"""

import asyncio
import selectors


class _VirtualSelector(selectors.SelectSelector):
    """Advances the virtual clock by the timeout instead of waiting."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout=None):
        if timeout:
            self.now_s += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop with a virtual clock that starts at 0."""

    def __init__(self):
        self._clock = _VirtualSelector()
        super().__init__(self._clock)

    def time(self):
        """Return the virtual time in seconds."""
        return self._clock.now_s


def run_virtual(coroutine):
    """Run a coroutine in virtual time.

    Parameters
    ----------
    coroutine : coroutine
        Coroutine to run; must not wait for anything outside the loop.

    Returns
    -------
    object
        Result of the coroutine.
    """
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(coroutine)


def get_virtual_ms():
    """Return the time of the running virtual loop in milliseconds."""
    return asyncio.get_running_loop().time() * 1000
