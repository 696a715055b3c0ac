"""``gentianlink audit``."""

import attrs
import typer

from gentianlink.core.errors import PlatformError
from gentianlink.tools.command import run_command
from gentianlink.tools.commands.history import DEFAULT_LAST, LastOption
from gentianlink.tools.commands.show import VersionOption
from gentianlink.tools.enforcement import compute_enforcements
from gentianlink.tools.errors import NodeUnreachable, NoNodeFound
from gentianlink.tools.operator_access import OperatorAccess
from gentianlink.tools.options import (
    ConfigOption,
    JsonOption,
    NodeOption,
    ObjectUrlOption,
    TableUrlOption,
)
from gentianlink.tools.output import (
    format_time,
    print_json,
    print_lines,
    print_table,
)
from gentianlink.tools.versions import read_change, read_last_changes

COLUMNS = ("node", "data centre", "in force at", "after ms", "why not")


def audit(
    version: VersionOption = None,
    last: LastOption = DEFAULT_LAST,
    as_json: JsonOption = False,
    config: ConfigOption = None,
    table_url: TableUrlOption = "",
    object_url: ObjectUrlOption = "",
    node: NodeOption = None,
):
    """Show who changed what, when and why, and when each node enforced it."""

    async def work():
        access = OperatorAccess.from_options(config, table_url, object_url, node)
        if version is None:
            changes = await read_last_changes(access.store, last)
        else:
            changes = [await read_change(access.store, version)]
        return changes, await _read_reports(access.nodes)

    changes, (reports, failure) = run_command(work())
    rows = [(change, compute_enforcements(change, reports)) for change in changes]
    if as_json:
        print_json(_make_document(rows, failure))
        return
    if failure:
        typer.echo(f"nodes could not be asked: {failure}", err=True)
    for change, enforcements in reversed(rows):
        _print_change(change)
        if version is None:
            typer.echo(f"  {_summarize(change, enforcements)}")
        elif enforcements:
            print_table(COLUMNS, [_make_row(change, item) for item in enforcements])


async def _read_reports(nodes):
    try:
        return await nodes.read_reports(), ""
    except (NoNodeFound, NodeUnreachable, PlatformError) as error:
        return [], str(error)


def _print_change(change):
    when = format_time(change.when_ms)
    typer.echo(f"version {change.version} by {change.who} at {when}: {change.why}")
    typer.echo(f"  change id {change.change_id}")
    print_lines(change.difference)


def _summarize(change, enforcements):
    times = [item.when_ms for item in enforcements if item.when_ms]
    counts = f"in force on {len(times)} of {len(enforcements)} nodes that were asked"
    if not times:
        return counts
    return f"{counts}, the last {max(times) - change.when_ms} ms after the change"


def _make_row(change, enforcement):
    if not enforcement.when_ms:
        return enforcement.node_id, enforcement.data_centre, "", "", enforcement.why_not
    when = format_time(enforcement.when_ms)
    after_ms = enforcement.when_ms - change.when_ms
    return enforcement.node_id, enforcement.data_centre, when, after_ms, ""


def _make_document(rows, failure):
    changes = [
        {
            "change": change,
            "nodes": [attrs.asdict(item) for item in enforcements],
        }
        for change, enforcements in rows
    ]
    return {"changes": changes, "nodes_failure": failure}
