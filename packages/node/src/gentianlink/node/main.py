"""The command ``gentianlink-node``."""

import asyncio
import os
import pathlib
import signal
from typing import Annotated

import typer
import uvloop

from gentianlink.core.errors import SettingsInvalid
from gentianlink.node.errors import ListenFailed
from gentianlink.node.exit_code import NodeExitCode
from gentianlink.node.log import configure_logs, get_logger
from gentianlink.node.node import Node
from gentianlink.node.settings_reloader import SettingsReloader
from gentianlink.parser.settings_file import load_settings

_LOG = get_logger("settings")


def run(
    settings_path: Annotated[pathlib.Path, typer.Argument(help="Settings file.")],
    check: Annotated[
        bool, typer.Option("--check", help="Only check the settings.")
    ] = False,
):
    """Run the node beside a target with the settings of an INI file."""
    try:
        settings = load_settings(settings_path)
    except SettingsInvalid as error:
        for problem in error.problems:
            typer.echo(problem.format(), err=True)
        raise typer.Exit(NodeExitCode.SETTINGS_INVALID) from error
    if check:
        typer.echo(f"{settings_path}: no mistakes")
        return
    configure_logs(settings.log)
    reloader = SettingsReloader(
        settings_path, settings, lambda changed: configure_logs(changed.log)
    )
    try:
        uvloop.run(_run_node(reloader))
    except ListenFailed as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(NodeExitCode.CANNOT_LISTEN) from error


async def _run_node(reloader):
    node = Node.from_settings(reloader.settings, reloader.reload)
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, _request_stop, stop_requested)
    loop.add_signal_handler(signal.SIGHUP, _reload, reloader)
    await node.run(stop_requested)


def _request_stop(stop_requested):
    if stop_requested.is_set():
        os._exit(NodeExitCode.KILLED)
    stop_requested.set()


def _reload(reloader):
    try:
        reloader.reload()
    except SettingsInvalid as error:
        for problem in error.problems:
            _LOG.error("settings refused", why=problem.format())


def make_application():
    """Return the command line application of the node.

    Returns
    -------
    typer.Typer
        The application.
    """
    application = typer.Typer(add_completion=False, pretty_exceptions_enable=False)
    application.command()(run)
    return application


def main():
    """Run the command."""
    make_application()()
