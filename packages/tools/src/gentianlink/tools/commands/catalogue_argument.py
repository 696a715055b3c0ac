"""Load the catalogue file that a command names."""

import typer

from gentianlink.core.errors import CatalogueInvalid
from gentianlink.ops.validate_catalogue import validate_catalogue
from gentianlink.parser.catalogue_file import load_catalogue
from gentianlink.tools.command import fail
from gentianlink.tools.exit_code import ExitCode
from gentianlink.tools.output import print_json


def load_or_fail(path, as_json=False):
    """Load a catalogue file, or list its mistakes and exit.

    Parameters
    ----------
    path : pathlib.Path
        The file.
    as_json : bool, optional
        Whether to list the mistakes as JSON on standard output.

    Returns
    -------
    Catalogue
        The valid catalogue.

    Raises
    ------
    typer.Exit
        If the file has mistakes.
    """
    catalogue, problems = load_catalogue(path)
    problems = problems + validate_catalogue(catalogue, str(path))
    if problems and as_json:
        print_json({"problems": problems})
        raise typer.Exit(ExitCode.INVALID)
    if problems:
        fail(CatalogueInvalid(problems))
    return catalogue
