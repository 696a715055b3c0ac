"""``gentianlink catalogue diff``."""

from typing import Annotated

import typer

from gentianlink.tools.command import exit_unless, run_command
from gentianlink.tools.commands.catalogue_argument import load_or_fail
from gentianlink.tools.difference import compute_differences
from gentianlink.tools.exit_code import ExitCode
from gentianlink.tools.operator_access import OperatorAccess
from gentianlink.tools.options import (
    ConfigOption,
    FileArgument,
    JsonOption,
    ObjectUrlOption,
    TableUrlOption,
)
from gentianlink.tools.output import print_json
from gentianlink.tools.versions import read_version

AgainstOption = Annotated[
    int | None,
    typer.Option(
        "--against", min=0, help="Version to compare with; the last if not given."
    ),
]


def diff(
    path: FileArgument,
    against: AgainstOption = None,
    as_json: JsonOption = False,
    config: ConfigOption = None,
    table_url: TableUrlOption = "",
    object_url: ObjectUrlOption = "",
):
    """Show what a file would change; exit with code 1 if it changes anything."""
    new = load_or_fail(path, as_json)
    old = run_command(_read(config, table_url, object_url, against))
    differences = compute_differences(old, new)
    if as_json:
        print_json({"version": old.version, "differences": differences})
    else:
        print_differences(old.version, differences)
    exit_unless(not differences, ExitCode.DIFFERENT)


async def _read(config, table_url, object_url, version):
    access = OperatorAccess.from_options(config, table_url, object_url, ())
    return await read_version(access.store, version)


def print_differences(version, differences):
    """Print differences as readable text.

    Parameters
    ----------
    version : int
        Version that the file was compared with.
    differences : sequence of Difference
        The differences.
    """
    if not differences:
        typer.echo(f"no difference to version {version}")
        return
    typer.echo(f"difference to version {version}:")
    for difference in differences:
        for line in difference.format():
            typer.echo(f"  {line}")
