"""``gentianlink explain``."""

from typing import Annotated

import typer

from gentianlink.tools.command import run_command
from gentianlink.tools.operator_access import make_node_client
from gentianlink.tools.options import (
    ConfigOption,
    JsonOption,
    NodeOption,
    ObjectUrlOption,
    TableUrlOption,
)
from gentianlink.tools.output import print_json, print_table

PathArgument = Annotated[str, typer.Argument(help="Path of a call, such as /a/b.")]
COLUMNS = ("target", "data centre", "address", "state", "slots", "load", "why")


def explain(
    path: PathArgument,
    as_json: JsonOption = False,
    config: ConfigOption = None,
    table_url: TableUrlOption = "",
    object_url: ObjectUrlOption = "",
    node: NodeOption = None,
):
    """Say what a node would do with a call; nothing is sent."""

    async def work():
        nodes = make_node_client(config, table_url, object_url, node)
        return await nodes.explain(path)

    explanation = run_command(work())
    if as_json:
        print_json(explanation)
        return
    _print_explanation(explanation)


def _print_explanation(explanation):
    heading = f"node {explanation['node_id']} at version {explanation['version']}"
    typer.echo(f"{heading}: {explanation['path']}")
    if not explanation["entry"]:
        typer.echo(f"  would be refused: {explanation['reason']}")
        return
    for key in ("entry", "owner", "service", "work_class", "route"):
        typer.echo(f"  {key.replace('_', ' ')}: {explanation[key]}")
    limits = explanation["limits"]
    text = ", ".join(f"{key} {value:.12g}" for key, value in sorted(limits.items()))
    typer.echo(f"  limits: {text}")
    typer.echo(f"  data centres in order: {', '.join(explanation['prefer'])}")
    if explanation["reason"]:
        typer.echo(f"  would be refused: {explanation['reason']}")
    print_table(COLUMNS, [_make_row(item) for item in explanation["endpoints"]])


def _make_row(endpoint):
    return (
        endpoint["target_id"],
        endpoint["data_centre"],
        endpoint["address"],
        endpoint["state"],
        endpoint["slots"],
        f"{endpoint['load']:.2f}",
        endpoint["why"],
    )
