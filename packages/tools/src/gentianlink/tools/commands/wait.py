"""``gentianlink catalogue wait``."""

import typer

from gentianlink.tools.command import run_command
from gentianlink.tools.operator_access import make_node_client
from gentianlink.tools.options import (
    DEFAULT_WAIT_S,
    ConfigOption,
    JsonOption,
    NodeOption,
    ObjectUrlOption,
    TableUrlOption,
    TimeoutOption,
    VersionArgument,
)
from gentianlink.tools.output import print_json
from gentianlink.tools.waiting import print_progress, wait_until_in_force


def wait(
    version: VersionArgument,
    timeout: TimeoutOption = DEFAULT_WAIT_S,
    as_json: JsonOption = False,
    config: ConfigOption = None,
    table_url: TableUrlOption = "",
    object_url: ObjectUrlOption = "",
    node: NodeOption = None,
):
    """Wait until every live node enforces a version."""

    async def work():
        nodes = make_node_client(config, table_url, object_url, node)
        return await wait_until_in_force(nodes, version, timeout, print_progress)

    convergence = run_command(work())
    if as_json:
        print_json(convergence)
        return
    typer.echo(f"version {version} is in force on all {convergence.nodes} nodes")
