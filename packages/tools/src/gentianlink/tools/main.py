"""The command ``gentianlink``."""

import typer

from gentianlink.tools.catalogue_commands import make_application as make_catalogue
from gentianlink.tools.commands.audit import audit
from gentianlink.tools.commands.explain import explain
from gentianlink.tools.commands.status import status

COMMANDS = (status, audit, explain)


def make_application():
    """Return the command with all its subcommands.

    Returns
    -------
    typer.Typer
        The application.
    """
    application = typer.Typer(
        no_args_is_help=True,
        add_completion=False,
        pretty_exceptions_enable=False,
        help="Operate gentianlink by its catalogue.",
    )
    application.add_typer(make_catalogue(), name="catalogue")
    for command in COMMANDS:
        application.command()(command)
    return application


def main():
    """Run the command line."""
    make_application()()
