"""The command group ``gentianlink catalogue``."""

import typer

from gentianlink.tools.commands.apply import apply
from gentianlink.tools.commands.diff import diff
from gentianlink.tools.commands.history import history
from gentianlink.tools.commands.revert import revert
from gentianlink.tools.commands.show import show
from gentianlink.tools.commands.validate import validate
from gentianlink.tools.commands.wait import wait

COMMANDS = (validate, diff, apply, show, history, revert, wait)


def make_application():
    """Return the group with all its commands.

    Returns
    -------
    typer.Typer
        The group.
    """
    group = typer.Typer(no_args_is_help=True, help="Read and change the catalogue.")
    for command in COMMANDS:
        group.command()(command)
    return group
