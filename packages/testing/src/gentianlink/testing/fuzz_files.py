"""Feed settings and catalogue files of all shapes to their readers.

Run ``python -m gentianlink.testing.fuzz_files --seed 1 --count 20000`` for a long run;
the tests run a short one that is always the same.
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

ODD_VALUES = (
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
    """Return a strategy for texts near an example, and far from it.

    Parameters
    ----------
    name : str
        File name of the example.

    Returns
    -------
    hypothesis strategy
        Strategy for bytes.
    """
    lines = (DIRECTORY / name).read_text().splitlines()
    kept = strategies.sampled_from(lines)
    keys = sorted({line.partition(" = ")[0] for line in lines if " = " in line})
    values = strategies.sampled_from(ODD_VALUES) | strategies.text(max_size=20)
    changed = strategies.builds("{} = {}".format, strategies.sampled_from(keys), values)
    headers = strategies.builds("[{}]".format, strategies.text(max_size=12))
    odd = strategies.one_of(changed, headers, strategies.text(max_size=30))
    edits = strategies.lists(
        strategies.tuples(strategies.integers(0, len(lines)), kept | odd), max_size=4
    )
    near = strategies.tuples(edits, strategies.sets(strategies.integers(0, len(lines))))
    mixed = strategies.lists(kept | odd, max_size=30).map("\n".join)
    texts = near.map(lambda change: _edit(lines, *change)) | mixed
    encoded = texts.map(lambda text: text.encode("utf-8", "replace"))
    return encoded | strategies.binary(max_size=200)


def _edit(lines, edits, removed):
    kept = [line for place, line in enumerate(lines) if place not in removed]
    for place, line in edits:
        kept.insert(place, line)
    return "\n".join(kept)


def check_settings(path):
    """Read a file as settings of a node and of the command line.

    Parameters
    ----------
    path : pathlib.Path
        The file.

    Returns
    -------
    int
        Number of the readers that took the file.
    """
    taken = 0
    for load in (load_settings, load_operator_settings):
        try:
            load(path)
            taken += 1
        except SettingsInvalid as error:
            assert error.problems
            assert all(problem.format() for problem in error.problems)
    return taken


def check_catalogue(path):
    """Read a file as a catalogue; one without mistakes must survive its uses.

    Parameters
    ----------
    path : pathlib.Path
        The file.

    Returns
    -------
    int
        1 if the file has no mistakes.
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
    """Check many files that are made from an example.

    Parameters
    ----------
    name : str
        File name of the example.
    check : callable
        Reads one file; returns how many readers took it.
    count : int
        Number of files.
    seed : int, optional
        Seed; the same files each time if not given.

    Returns
    -------
    files : int
        Files that were checked.
    taken : int
        Files without mistakes.
    """
    counts = {"files": 0, "taken": 0}
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory) / "file.ini"

        def check_data(data):
            path.write_bytes(data)
            counts["files"] += 1
            counts["taken"] += bool(check(path))

        _run(make_text_strategy(name), check_data, count, seed)
    return counts["files"], counts["taken"]


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
    """Run all cases and print what was checked."""
    for name, check in CASES:
        files, taken = run_fuzz(name, check, count, seed)
        print(f"{name}: seed {seed}, {files} files, {taken} without mistakes")


if __name__ == "__main__":
    typer.run(main)
