"""Run commands and turn typed errors into a message and an exit code."""

import asyncio

import typer

from gentianlink.core.errors import GentianlinkError
from gentianlink.tools.errors import ChangeDeclined
from gentianlink.tools.exit_code import ExitCode
from gentianlink.tools.failure import describe_failure


def run_command(coroutine, request=None):
    """Run the coroutine of a command and return its result.

    Parameters
    ----------
    coroutine : coroutine
        Coroutine of the command.
    request : ChangeRequest, optional
        Change that the command requests.

    Returns
    -------
    object
        Result of the coroutine.

    Raises
    ------
    typer.Exit
        If the coroutine raises a typed error.
    """
    try:
        return asyncio.run(coroutine)
    except GentianlinkError as error:
        fail(error, request)


def fail(error, request=None):
    """Print the message for a typed error and exit with its exit code.

    Parameters
    ----------
    error : GentianlinkError
        The error.
    request : ChangeRequest, optional
        Change that the command requested.

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
    """Ask the operator for confirmation and exit if it is not given.

    Parameters
    ----------
    question : str
        Question to the operator.

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
    """Exit with a code unless a condition is true.

    Parameters
    ----------
    condition : bool
        The condition.
    code : ExitCode
        Exit code if the condition is false.

    Raises
    ------
    typer.Exit
        If the condition is false.
    """
    if not condition:
        raise typer.Exit(ExitCode(code))
