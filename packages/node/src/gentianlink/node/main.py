"""The binary ``gentianlink-node``."""

import asyncio
import os
import pathlib
import signal

import typer
import uvloop

from gentianlink.core.errors import SettingsInvalid
from gentianlink.node.log import configure_logs
from gentianlink.node.node import Node
from gentianlink.parser.settings_file import load_settings

EXIT_SETTINGS_INVALID = 2
EXIT_KILLED = 1


def run(
    settings_path: pathlib.Path,
    check: bool = typer.Option(False, help="Only check the settings."),
):
    """Run the node beside a target with the settings of an INI file."""
    try:
        settings = load_settings(settings_path)
    except SettingsInvalid as error:
        for problem in error.problems:
            typer.echo(problem.format(), err=True)
        raise typer.Exit(EXIT_SETTINGS_INVALID) from error
    if check:
        typer.echo(f"{settings_path}: no mistakes")
        return
    configure_logs(settings.log.level)
    uvloop.run(_run_node(settings))


async def _run_node(settings):
    node = Node.from_settings(settings)
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, _request_stop, stop_requested)
    await node.run(stop_requested)


def _request_stop(stop_requested):
    if stop_requested.is_set():
        os._exit(EXIT_KILLED)
    stop_requested.set()


def main():
    """Run the command."""
    application = typer.Typer(add_completion=False, pretty_exceptions_enable=False)
    application.command()(run)
    application()
