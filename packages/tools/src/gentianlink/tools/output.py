"""Print tables for people and JSON for programs."""

import datetime
import shutil

import cattrs
import orjson
import typer
from rich.console import Console
from rich.table import Table

MIN_WIDTH = 100


def print_json(value):
    """Print a value as one JSON document.

    Parameters
    ----------
    value : object
        Plain data or instances of attrs classes.
    """
    option = orjson.OPT_INDENT_2 | orjson.OPT_NON_STR_KEYS | orjson.OPT_SORT_KEYS
    typer.echo(orjson.dumps(cattrs.unstructure(value), option=option).decode())


def print_table(columns, rows):
    """Print a table.

    Parameters
    ----------
    columns : sequence of str
        Titles.
    rows : iterable of sequence
        Cells.
    """
    table = Table(*columns, box=None, pad_edge=False)
    for row in rows:
        table.add_row(*(str(cell) for cell in row))
    width = max(MIN_WIDTH, shutil.get_terminal_size().columns)
    console = Console(width=width, markup=False, highlight=False)
    console.print(table)


def format_time(when_ms):
    """Return a time as readable text.

    Parameters
    ----------
    when_ms : int
        Milliseconds since the epoch.

    Returns
    -------
    str
        The time in UTC with milliseconds.
    """
    when = datetime.datetime.fromtimestamp(when_ms / 1000, datetime.UTC)
    return when.strftime("%Y-%m-%d %H:%M:%S.%f")[:-3] + "Z"


def print_lines(lines):
    """Print lines indented by two columns.

    Parameters
    ----------
    lines : iterable of str
        The lines.
    """
    for line in lines:
        typer.echo(f"  {line}")
