"""Commands over the catalogue."""

import asyncio
import getpass
import pathlib
import time
import uuid

import typer

from gentianlink.core.errors import (
    CatalogueInvalid,
    PlatformOutcomeUnknown,
    PlatformUnavailable,
    WriteConflict,
)
from gentianlink.ops.validate_catalogue import validate_catalogue
from gentianlink.parser.catalogue_file import parse_catalogue
from gentianlink.platform.catalogue_store import CatalogueStore
from gentianlink.platform.change_request import ChangeRequest
from gentianlink.platform.object_client import ObjectClient
from gentianlink.platform.table_client import TableClient

EXIT_INVALID = 2
EXIT_CONFLICT = 3
EXIT_UNKNOWN = 4
EXIT_UNAVAILABLE = 5
TIMEOUT_MS = 5000

application = typer.Typer(no_args_is_help=True, help="Read and change the catalogue.")

TableUrl = typer.Option(..., envvar="GENTIANLINK_TABLE_URL", help="Table service.")
ObjectUrl = typer.Option(..., envvar="GENTIANLINK_OBJECT_URL", help="Object store.")


def load_catalogue(path):
    """Read and check a catalogue file.

    Parameters
    ----------
    path : pathlib.Path
        The file.

    Returns
    -------
    catalogue : Catalogue
        Services and entries.
    problems : list of Problem
        Every mistake found.
    """
    catalogue, problems = parse_catalogue(path.read_text(), str(path))
    return catalogue, problems + validate_catalogue(catalogue, str(path))


def _load_or_exit(path):
    catalogue, problems = load_catalogue(path)
    for problem in problems:
        typer.echo(problem.format(), err=True)
    if problems:
        raise typer.Exit(EXIT_INVALID)
    return catalogue


@application.command()
def validate(path: pathlib.Path):
    """Check a catalogue file and list every mistake."""
    catalogue = _load_or_exit(path)
    counts = f"{len(catalogue.services)} services, {len(catalogue.entries)} entries"
    typer.echo(f"{path}: {counts}, no mistakes")


@application.command()
def apply(
    path: pathlib.Path,
    why: str = typer.Option(..., help="Reason for the audit trail."),
    who: str = typer.Option("", help="Operator; the login name if not given."),
    change_id: str = typer.Option("", help="Identifier, to repeat a change safely."),
    table_url: str = TableUrl,
    object_url: str = ObjectUrl,
):
    """Make a file the next catalogue version."""
    catalogue = _load_or_exit(path)
    request = ChangeRequest(
        change_id or str(uuid.uuid4()), who or getpass.getuser(), why
    )
    try:
        change = asyncio.run(_accept(catalogue, request, table_url, object_url))
    except CatalogueInvalid as error:
        raise typer.Exit(EXIT_INVALID) from error
    except WriteConflict as error:
        typer.echo("not accepted: another change was accepted first", err=True)
        raise typer.Exit(EXIT_CONFLICT) from error
    except PlatformOutcomeUnknown as error:
        typer.echo(
            f"not known whether accepted; repeat with --change-id {request.change_id}",
            err=True,
        )
        raise typer.Exit(EXIT_UNKNOWN) from error
    except PlatformUnavailable as error:
        typer.echo(f"not accepted: the platform is unavailable: {error}", err=True)
        raise typer.Exit(EXIT_UNAVAILABLE) from error
    typer.echo(f"accepted version {change.version} at {change.when_ms}")
    for line in change.difference:
        typer.echo(f"  {line}")


async def _accept(catalogue, request, table_url, object_url):
    table = TableClient(table_url, TIMEOUT_MS)
    store = CatalogueStore(table, ObjectClient(object_url, TIMEOUT_MS))
    base = await store.read_head()
    return await store.accept(catalogue, base, request, time.time_ns() // 1_000_000)
