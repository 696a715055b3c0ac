"""Fuzz the parsers of settings and catalogue files.

Run ``python -m gentianlink.testing.fuzz_files --seed 1 --count 20000`` for a long run;
the tests make a short run with a fixed sequence of files.
"""

import pathlib
import tempfile

import hypothesis
import typer
from hypothesis import strategies

from gentianlink.core.catalogue import Catalogue
from gentianlink.core.codec import decode, encode
from gentianlink.core.errors import SettingsInvalid
from gentianlink.ops.build_table import build_table
from gentianlink.ops.validate_catalogue import validate_catalogue
from gentianlink.parser.catalogue_file import load_catalogue, parse_catalogue
from gentianlink.parser.format_catalogue import format_catalogue
from gentianlink.parser.settings_file import load_operator_settings, load_settings
from gentianlink.testing.example_settings import DIRECTORY

EDGE_CASE_VALUES = (
    "",
    "0",
    "-1",
    "1e999",
    "nan",
    "inf",
    "9" * 5000,
    "\u0661",
    "1_0",
    "a b",
    "%(x)s",
    "${x}",
    "http://[",
    "http://h:x",
    "127.0.0.1:1",
    "[::1]:1",
    ",",
    "/a",
    "/a/../b",
    "\x00",
    "\ud83d\ude00".encode("utf-16", "surrogatepass").decode("utf-16"),
)


def make_text_strategy(name):
    """Return a strategy for files: mutations of an example, random lines and bytes.

    Parameters
    ----------
    name : str
        File name of the example.

    Returns
    -------
    hypothesis strategy
        Strategy for the bytes of a file.
    """
    lines = (DIRECTORY / name).read_text().splitlines()
    kept = strategies.sampled_from(lines)
    keys = sorted({line.partition(" = ")[0] for line in lines if " = " in line})
    values = strategies.sampled_from(EDGE_CASE_VALUES) | strategies.text(max_size=20)
    changed = strategies.builds("{} = {}".format, strategies.sampled_from(keys), values)
    headers = strategies.builds("[{}]".format, strategies.text(max_size=12))
    odd = strategies.one_of(changed, headers, strategies.text(max_size=30))
    edits = strategies.lists(
        strategies.tuples(strategies.integers(0, len(lines)), kept | odd), max_size=4
    )
    mutated = strategies.tuples(
        edits, strategies.sets(strategies.integers(0, len(lines)))
    )
    mixed = strategies.lists(kept | odd, max_size=30).map("\n".join)
    texts = mutated.map(lambda change: _edit(lines, *change)) | mixed
    encoded = texts.map(lambda text: text.encode("utf-8", "replace"))
    return encoded | strategies.binary(max_size=200)


def _edit(lines, edits, removed):
    kept = [line for line_index, line in enumerate(lines) if line_index not in removed]
    for line_index, line in edits:
        kept.insert(line_index, line)
    return "\n".join(kept)


def check_settings(path):
    """Load a file as settings of a node and as settings of the command line.

    A rejected file must report problems, and each of them must have a message.

    Parameters
    ----------
    path : pathlib.Path
        Path of the file.

    Returns
    -------
    int
        Number of loaders that accepted the file, 0 to 2.
    """
    accepted = 0
    for load in (load_settings, load_operator_settings):
        try:
            load(path)
            accepted += 1
        except SettingsInvalid as error:
            assert error.problems
            assert all(problem.format() for problem in error.problems)
    return accepted


def check_catalogue(path):
    """Load a file as a catalogue and check what is done with a valid one.

    A valid catalogue must be equal after formatting and parsing and after encoding
    and decoding, and its table must have a route for each entry.

    Parameters
    ----------
    path : pathlib.Path
        Path of the file.

    Returns
    -------
    int
        1 if the file is a valid catalogue, 0 otherwise.
    """
    catalogue, problems = load_catalogue(path)
    problems = problems + validate_catalogue(catalogue, str(path))
    assert all(problem.format() for problem in problems)
    if problems:
        return 0
    assert parse_catalogue(format_catalogue(catalogue), "again") == (catalogue, [])
    assert decode(encode(catalogue), Catalogue) == catalogue
    assert len(build_table(catalogue, {}, {}).routes) == len(catalogue.entries)
    return 1


def run_fuzz(name, check, count, seed=None):
    """Run a check on many generated files.

    Parameters
    ----------
    name : str
        File name of the example from which files are generated.
    check : callable
        Takes the path of a file; returns the number of loaders that accepted it.
    count : int
        Number of files.
    seed : int, optional
        Seed of the generator; without a seed, every run generates the same files.

    Returns
    -------
    files : int
        Number of files checked.
    accepted : int
        Number of files that at least one loader accepted.
    """
    counts = {"files": 0, "accepted": 0}
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory) / "file.ini"

        def check_data(data):
            path.write_bytes(data)
            counts["files"] += 1
            counts["accepted"] += bool(check(path))

        _run(make_text_strategy(name), check_data, count, seed)
    return counts["files"], counts["accepted"]


def _run(strategy, check_data, count, seed):
    settings = hypothesis.settings(
        max_examples=count,
        derandomize=seed is None,
        database=None,
        deadline=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    test = settings(hypothesis.given(strategy)(check_data))
    if seed is not None:
        test = hypothesis.seed(seed)(test)
    test()


CASES = (
    ("kingston.node.ini", check_settings),
    ("kingston.operator.ini", check_settings),
    ("kingston.catalogue.ini", check_catalogue),
)


def main(seed: int = 1, count: int = 20_000):
    """Run all cases and print the numbers of checked and accepted files."""
    for name, check in CASES:
        files, accepted = run_fuzz(name, check, count, seed)
        print(f"{name}: seed {seed}, {files} files, {accepted} accepted")


if __name__ == "__main__":
    typer.run(main)
