"""``gentianlink catalogue validate``."""

import typer

from gentianlink.tools.commands.catalogue_argument import load_or_fail
from gentianlink.tools.options import FileArgument, JsonOption
from gentianlink.tools.output import print_json


def validate(path: FileArgument, as_json: JsonOption = False):
    """Check a catalogue file and list every mistake."""
    catalogue = load_or_fail(path, as_json)
    if as_json:
        print_json({"problems": []})
        return
    counts = f"{len(catalogue.services)} services, {len(catalogue.entries)} entries"
    typer.echo(f"{path}: {counts}, no mistakes")
