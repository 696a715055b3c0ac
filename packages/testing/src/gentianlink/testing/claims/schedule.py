"""Enumerate every sequence of choices of a run, such as the order of events."""

import random


class Schedule:
    """Choices of one run: a given prefix, then always the first option.

    Parameters
    ----------
    prefix : list of int
        Indexes of the first choices.
    """

    def __init__(self, prefix):
        self._prefix = prefix
        self._trace = []

    @property
    def choices(self):
        """Indexes of the options chosen so far."""
        return [index for index, _ in self._trace]

    def choose(self, options):
        """Return one of several options.

        Parameters
        ----------
        options : list
            At least one option.

        Returns
        -------
        object
            The chosen option.
        """
        position = len(self._trace)
        index = self._prefix[position] if position < len(self._prefix) else 0
        self._trace.append((index, len(options)))
        return options[index]

    def get_next_prefix(self):
        """Return the prefix of the next run, depth first; None after the last run."""
        trace = list(self._trace)
        while trace and trace[-1][0] + 1 == trace[-1][1]:
            trace.pop()
        if not trace:
            return None
        index, _ = trace.pop()
        return [chosen for chosen, _ in trace] + [index + 1]


class RandomSchedule(Schedule):
    """Choices drawn from a seeded random number generator.

    Parameters
    ----------
    seed : int
        Seed of the generator; the same seed gives the same choices.
    """

    def __init__(self, seed):
        super().__init__([])
        self._random = random.Random(seed)

    def choose(self, options):
        """Return one of several options."""
        index = self._random.randrange(len(options))
        self._trace.append((index, len(options)))
        return options[index]


async def explore(run, max_runs):
    """Run every schedule in depth-first order.

    Parameters
    ----------
    run : callable
        Coroutine function that takes a Schedule.
    max_runs : int
        Largest number of runs.

    Returns
    -------
    int
        Number of runs.

    Raises
    ------
    OverflowError
        If there are more schedules than `max_runs`.
    """
    prefix = []
    runs = 0
    while prefix is not None:
        if runs == max_runs:
            raise OverflowError(f"more than {max_runs} schedules")
        schedule = Schedule(prefix)
        await run(schedule)
        prefix = schedule.get_next_prefix()
        runs += 1
    return runs
