"""Entry point of the sidecar process."""

import asyncio
import os
import pathlib
import signal
import sys

import uvloop

from gentianlink.core.errors import SettingsInvalid
from gentianlink.node.exit_code import NodeExitCode
from gentianlink.node.log import get_logger
from gentianlink.sidecar.line_limiter import LineLimiter
from gentianlink.sidecar.line_writer import LineWriter
from gentianlink.sidecar.log import configure_logs
from gentianlink.sidecar.settings import load_sidecar_settings
from gentianlink.sidecar.sidecar import Sidecar

SETTINGS_VARIABLE = "GENTIANLINK_SETTINGS"
DEFAULT_SETTINGS = "gentianlink.ini"

_LOG = get_logger("sidecar")


def main(listener=None):
    """Run the sidecar with the settings file that the environment names.

    Parameters
    ----------
    listener : socket.socket, optional
        Socket that is already listening for callers; without it one is opened.
    """
    writer = LineWriter(sys.stdout.fileno())
    limiter = LineLimiter()
    configure_logs(writer, limiter, "")
    path = pathlib.Path(os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS))
    try:
        settings = load_sidecar_settings(path)
    except SettingsInvalid as error:
        for problem in error.problems:
            _LOG.error("settings refused", why=problem.format())
        sys.exit(NodeExitCode.SETTINGS_INVALID)
    configure_logs(writer, limiter, settings.node.id)
    sidecar = Sidecar.from_settings(settings, writer, limiter)
    uvloop.run(_run(sidecar, path, listener))
    writer.flush()


async def _run(sidecar, path, listener):
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, path)
    await sidecar.run(stop_requested, listener)


def _reload(path):
    try:
        load_sidecar_settings(path)
        _LOG.info("settings read again")
    except SettingsInvalid as error:
        for problem in error.problems:
            _LOG.error("settings refused", why=problem.format())


if __name__ == "__main__":
    main()
