"""Background tasks whose failures are logged, and those that have to go on."""

import asyncio

from gentianlink.node.backoff import compute_backoff_s
from gentianlink.node.log import get_logger

_LOG = get_logger("task")

# Back-off before a failed task is started again.
FIRST_RESTART_MS = 100
MAX_RESTART_MS = 1000
# After this time without a failure the back-off begins anew.
STEADY_S = 10.0


def _ignore(name):
    """Count no failure."""


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


def start_lasting_task(make_work, name, on_failure=_ignore):
    """Start a task that is started again whenever it fails.

    Any part of the process that serves until the process ends runs in such a task: an
    error that none of its callers expects must not end it for good.

    Parameters
    ----------
    make_work : callable
        Returns the coroutine that the task runs; called again after each failure.
    name : str
        Name of the task in logs and metrics.
    on_failure : callable, optional
        Called with the name at each failure, for example to count it.

    Returns
    -------
    asyncio.Task
        The running task; it ends once its coroutine returns or it is cancelled.
    """
    return start_task(_run_until_success(make_work, name, on_failure), name)


async def _run_until_success(make_work, name, on_failure):
    loop = asyncio.get_running_loop()
    failures = 0
    while True:
        started_s = loop.time()
        try:
            return await make_work()
        except Exception as error:
            is_steady = loop.time() - started_s >= STEADY_S
            failures = 1 if is_steady else failures + 1
            note_failure(name, error, on_failure)
        await asyncio.sleep(
            compute_backoff_s(failures, FIRST_RESTART_MS, MAX_RESTART_MS)
        )


def run_step(step, name, on_failure=_ignore):
    """Run a function whose failure must not stop what comes after it.

    Parameters
    ----------
    step : callable
        Takes no arguments.
    name : str
        Name in logs and metrics.
    on_failure : callable, optional
        Called with the name if the function fails.
    """
    try:
        step()
    except Exception as error:
        note_failure(name, error, on_failure)


def make_exception_handler(on_failure=_ignore):
    """Return a handler of the failures of callbacks, for the event loop.

    Parameters
    ----------
    on_failure : callable, optional
        Called with the name ``callback`` at each failure.

    Returns
    -------
    callable
        Takes the loop and the context of the failure, see
        ``asyncio.loop.set_exception_handler``.
    """

    def handle(loop, context):
        error = context.get("exception")
        if error is None:
            _LOG.error("callback failed", detail=context.get("message", ""))
        else:
            note_failure("callback", error, on_failure)

    return handle


def note_failure(name, error, on_failure=_ignore):
    """Log the failure of a task, and count it.

    Parameters
    ----------
    name : str
        Name of the task.
    error : BaseException
        What ended it.
    on_failure : callable, optional
        Called with the name.
    """
    on_failure(name)
    _LOG.error(
        "task failed",
        task=name,
        why=type(error).__name__,
        detail=str(error),
        exc_info=error,
    )


def _log_failure(task):
    if not task.cancelled() and task.exception() is not None:
        note_failure(task.get_name(), task.exception())
