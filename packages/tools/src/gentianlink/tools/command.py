"""Run the work of a command; a typed failure becomes a message and an exit code."""

import asyncio

import typer

from gentianlink.core.errors import GentianlinkError
from gentianlink.tools.errors import ChangeDeclined
from gentianlink.tools.exit_code import ExitCode
from gentianlink.tools.failure import describe_failure


def run_command(work, request=None):
    """Run a coroutine to its end.

    Parameters
    ----------
    work : coroutine
        The work of a command.
    request : ChangeRequest, optional
        The change that it tries.

    Returns
    -------
    object
        Result of the coroutine.

    Raises
    ------
    typer.Exit
        If the work fails by a typed error.
    """
    try:
        return asyncio.run(work)
    except GentianlinkError as error:
        fail(error, request)


def fail(error, request=None):
    """Print a typed error and exit with its code.

    Parameters
    ----------
    error : GentianlinkError
        The error.
    request : ChangeRequest, optional
        The change that was tried.

    Raises
    ------
    typer.Exit
        Always.
    """
    failure = describe_failure(error, request)
    for line in failure.lines:
        typer.echo(line, err=True)
    raise typer.Exit(failure.code) from error


def confirm(question):
    """Ask the operator; anything but yes ends the command.

    Parameters
    ----------
    question : str
        What is asked.

    Raises
    ------
    typer.Exit
        If the operator does not confirm.
    """
    try:
        is_confirmed = typer.confirm(question)
    except typer.Abort:
        is_confirmed = False
    if not is_confirmed:
        fail(ChangeDeclined("not confirmed: nothing was changed"))


def exit_unless(condition, code):
    """Exit with a code unless a condition holds.

    Parameters
    ----------
    condition : bool
        The condition.
    code : ExitCode
        Exit code otherwise.

    Raises
    ------
    typer.Exit
        If the condition does not hold.
    """
    if not condition:
        raise typer.Exit(ExitCode(code))
