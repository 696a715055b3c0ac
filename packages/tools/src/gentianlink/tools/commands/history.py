"""``gentianlink catalogue history``."""

from typing import Annotated

import typer

from gentianlink.tools.command import run_command
from gentianlink.tools.operator_access import OperatorAccess
from gentianlink.tools.options import (
    ConfigOption,
    JsonOption,
    ObjectUrlOption,
    TableUrlOption,
)
from gentianlink.tools.output import format_time, print_json, print_table
from gentianlink.tools.versions import read_last_changes

LastOption = Annotated[
    int, typer.Option("--last", min=1, max=1000, help="Number of versions.")
]
DEFAULT_LAST = 20


def history(
    last: LastOption = DEFAULT_LAST,
    as_json: JsonOption = False,
    config: ConfigOption = None,
    table_url: TableUrlOption = "",
    object_url: ObjectUrlOption = "",
):
    """List the last versions."""

    async def work():
        access = OperatorAccess.from_options(config, table_url, object_url, ())
        return await read_last_changes(access.store, last)

    changes = run_command(work())
    if as_json:
        print_json({"changes": changes})
        return
    rows = [
        (
            change.version,
            format_time(change.when_ms),
            change.who,
            len(change.difference),
            change.why,
        )
        for change in reversed(changes)
    ]
    print_table(("version", "when", "who", "changed", "why"), rows)
