"""``gentianlink status``."""

from typing import Annotated

import typer

from gentianlink.tools.command import exit_unless, run_command
from gentianlink.tools.exit_code import ExitCode
from gentianlink.tools.operator_access import OperatorAccess
from gentianlink.tools.options import (
    ConfigOption,
    JsonOption,
    NodeOption,
    ObjectUrlOption,
    TableUrlOption,
)
from gentianlink.tools.output import print_json, print_table

AllOption = Annotated[
    bool, typer.Option("--all", help="List every node, not only those behind.")
]
COLUMNS = ("node", "data centre", "version", "behind", "why")


def status(
    list_all: AllOption = False,
    as_json: JsonOption = False,
    config: ConfigOption = None,
    table_url: TableUrlOption = "",
    object_url: ObjectUrlOption = "",
    node: NodeOption = None,
):
    """Say which nodes are behind the accepted version, and why."""

    async def work():
        access = OperatorAccess.from_options(config, table_url, object_url, node)
        head, _ = await access.store.read_head()
        return head.version, await access.nodes.read_reports()

    version, reports = run_command(work())
    rows = [(report, report.explain_delay(version)) for report in reports]
    behind = [(report, delay) for report, delay in rows if delay]
    if as_json:
        print_json(_make_document(version, rows))
    else:
        counts = f"{len(rows) - len(behind)} of {len(rows)}"
        typer.echo(f"version {version} is in force and served by {counts} nodes")
        shown = rows if list_all else behind
        if shown:
            cells = [_make_row(report, version, delay) for report, delay in shown]
            print_table(COLUMNS, cells)
    exit_unless(not behind, ExitCode.BEHIND)


def _make_row(report, version, delay):
    node = report.node
    lag = max(0, version - report.version) if report.is_reached else "?"
    shown = report.version if report.is_reached else "?"
    return node.node_id, node.data_centre, shown, lag, delay


def _make_document(version, rows):
    nodes = [
        {
            "node_id": report.node.node_id,
            "data_centre": report.node.data_centre,
            "reached": report.is_reached,
            "ready": report.is_ready,
            "version": report.version,
            "why": delay,
        }
        for report, delay in rows
    ]
    return {"version": version, "nodes": nodes}
