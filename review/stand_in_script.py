"""Run a case as a script: its exit status, and its record."""

import asyncio
import os
import pathlib
import signal
import sys
import traceback

from stand_in_record import Record

HELD, BROKEN, NOT_RUN = 0, 1, 2
# A script may run for 120 seconds.
MAX_S = 112.0


class CannotRun(Exception):
    """The case could not be brought about."""


def has_trouble():
    """Return whether the disruption is wanted."""
    return os.environ.get("TROUBLE", "1") != "0"


async def _run(case, record):
    """Run a case within its time; it ends its processes also when it is stopped."""
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
    async with asyncio.timeout(MAX_S):
        return await case(record)


def run_case(case):
    """Run a case and exit with its status.

    Parameters
    ----------
    case : callable
        Coroutine function that takes the record; returns the violations as texts.
    """
    status = NOT_RUN
    try:
        record = Record(pathlib.Path("record.txt"))
        record.note("trouble" if has_trouble() else "no trouble")
        violations = asyncio.run(_run(case, record))
        for text in violations:
            record.note(f"rule broken: {text}")
            print(text)
        record.note("end", violations=len(violations))
        print(f"{len(violations)} violations")
        status = BROKEN if violations else HELD
        record.close()
    except (Exception, asyncio.CancelledError, KeyboardInterrupt):
        traceback.print_exc()
    sys.exit(status)
