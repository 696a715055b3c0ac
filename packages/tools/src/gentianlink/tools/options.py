"""Options that several commands share."""

import pathlib
from typing import Annotated

import typer

ConfigOption = Annotated[
    pathlib.Path | None,
    typer.Option(
        "--config",
        envvar="GENTIANLINK_CONFIG",
        help="Operator's INI file with the addresses.",
    ),
]
TableUrlOption = Annotated[
    str,
    typer.Option(
        "--table-url",
        envvar="GENTIANLINK_TABLE_URL",
        help="Address of the table service.",
    ),
]
ObjectUrlOption = Annotated[
    str,
    typer.Option(
        "--object-url",
        envvar="GENTIANLINK_OBJECT_URL",
        help="Address of the object store.",
    ),
]
NodeOption = Annotated[
    list[str] | None,
    typer.Option(
        "--node",
        envvar="GENTIANLINK_NODES",
        help="Address of a node's admin port; may be given several times.",
    ),
]
JsonOption = Annotated[
    bool, typer.Option("--json", help="Print JSON for programs, no tables.")
]
WhyOption = Annotated[str, typer.Option("--why", help="Reason for the audit trail.")]
WhoOption = Annotated[
    str, typer.Option("--who", help="Operator; the login name if not given.")
]
ChangeIdOption = Annotated[
    str,
    typer.Option("--change-id", help="Identifier, to repeat a change safely."),
]
BaseOption = Annotated[
    int | None,
    typer.Option("--base", min=0, help="Version that the change was made against."),
]
YesOption = Annotated[bool, typer.Option("--yes", help="Do not ask for confirmation.")]
WaitOption = Annotated[
    bool, typer.Option("--wait", help="Wait until every node enforces the version.")
]
TimeoutOption = Annotated[
    float,
    typer.Option("--timeout", min=0.1, max=3600, help="Longest wait in seconds."),
]
VersionArgument = Annotated[int, typer.Argument(min=0, help="Catalogue version.")]
FileArgument = Annotated[pathlib.Path, typer.Argument(help="Catalogue file.")]

DEFAULT_WAIT_S = 30.0
