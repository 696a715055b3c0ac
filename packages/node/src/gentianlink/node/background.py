"""Background tasks whose failures are logged."""

import asyncio

from gentianlink.node.log import get_logger

_LOG = get_logger("task")


def start_task(work, name):
    """Start a task that logs its own failure.

    Parameters
    ----------
    work : coroutine
        Coroutine that the task runs.
    name : str
        Name of the task in the log.

    Returns
    -------
    asyncio.Task
        The running task.
    """
    task = asyncio.get_running_loop().create_task(work, name=name)
    task.add_done_callback(_log_failure)
    return task


def _log_failure(task):
    if task.cancelled() or task.exception() is None:
        return
    error = task.exception()
    _LOG.error(
        "task failed",
        task=task.get_name(),
        why=type(error).__name__,
        detail=str(error),
        exc_info=error,
    )
