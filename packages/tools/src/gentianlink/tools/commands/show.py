"""``gentianlink catalogue show``."""

from typing import Annotated

import typer

from gentianlink.parser.format_catalogue import format_catalogue
from gentianlink.tools.command import run_command
from gentianlink.tools.operator_access import OperatorAccess
from gentianlink.tools.options import (
    ConfigOption,
    JsonOption,
    ObjectUrlOption,
    TableUrlOption,
)
from gentianlink.tools.output import print_json, print_table
from gentianlink.tools.versions import read_version

VersionOption = Annotated[
    int | None,
    typer.Argument(min=0, help="Catalogue version; the last if not given."),
]
IniOption = Annotated[
    bool, typer.Option("--ini", help="Print a file that `apply` takes.")
]
COLUMNS = ("entry", "owner", "service", "class", "route", "deadline ms", "retries")


def show(
    version: VersionOption = None,
    ini: IniOption = False,
    as_json: JsonOption = False,
    config: ConfigOption = None,
    table_url: TableUrlOption = "",
    object_url: ObjectUrlOption = "",
):
    """Show a version of the catalogue."""

    async def work():
        access = OperatorAccess.from_options(config, table_url, object_url, ())
        return await read_version(access.store, version)

    catalogue = run_command(work())
    if as_json:
        print_json(catalogue)
    elif ini:
        typer.echo(format_catalogue(catalogue), nl=False)
    else:
        _print_tables(catalogue)


def _print_tables(catalogue):
    typer.echo(f"version {catalogue.version}")
    print_table(
        ("service", "owner", "panic threshold"),
        [(item.name, item.owner, item.panic_threshold) for item in catalogue.services],
    )
    rows = [
        (
            entry.name,
            entry.owner,
            entry.service,
            entry.work_class.value,
            entry.route,
            entry.limits.deadline_ms,
            entry.limits.retries,
        )
        for entry in catalogue.entries
    ]
    typer.echo()
    print_table(COLUMNS, rows)
