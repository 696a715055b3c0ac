"""The binary ``gentianlink``."""

import typer

from gentianlink.tools.catalogue_commands import application as catalogue

application = typer.Typer(no_args_is_help=True, add_completion=False)
application.add_typer(catalogue, name="catalogue")


@application.callback()
def describe():
    """Operate gentianlink by its catalogue."""


def main():
    """Run the command."""
    application()
