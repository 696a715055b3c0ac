"""Read UTF-8 files of bounded size and parse INI text, reporting every error."""

import configparser

import attrs

from gentianlink.core.problem import Problem

MAX_FILE_BYTES = 4 << 20
MAX_LINES = 30_000
MAX_DUPLICATES = 20
MAX_QUOTED_CHARACTERS = 80
_DUPLICATE_SECTION = "repeated section at line"


@attrs.frozen
class IniText:
    """Sections of an INI text.

    Attributes
    ----------
    sections : dict of str to dict
        Values by section and key.
    problems : tuple of Problem
        Every syntax error.
    """

    sections: dict[str, dict[str, str]]
    problems: tuple[Problem, ...] = ()


def read_text(path):
    """Read a text file of at most `MAX_FILE_BYTES` bytes.

    Parameters
    ----------
    path : pathlib.Path
        The file.

    Returns
    -------
    text : str
        The text; empty if the file can't be read.
    problems : list of Problem
        The reason why the file can't be read; empty if it can.
    """
    try:
        with path.open("rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        found = error.strerror or type(error).__name__
        return "", [Problem(str(path), "", "", found, "a readable file")]
    if len(data) > MAX_FILE_BYTES:
        allowed = f"at most {MAX_FILE_BYTES} bytes"
        return "", [Problem(str(path), "", "", "a larger file", allowed)]
    try:
        return data.decode("utf-8-sig"), []
    except UnicodeDecodeError as error:
        found = f"byte {data[error.start]:#04x} at position {error.start}"
        return "", [Problem(str(path), "", "", found, "text in UTF-8")]


def parse_ini(text, source):
    """Parse INI text and report every syntax error.

    Parameters
    ----------
    text : str
        The text.
    source : str
        Name of the file for messages.

    Returns
    -------
    IniText
        Sections and syntax errors; only the first of duplicate sections or keys is
        kept.
    """
    lines = text.splitlines()
    if len(lines) > MAX_LINES:
        found = f"{len(lines)} lines"
        problem = Problem(source, "", "", found, f"at most {MAX_LINES} lines")
        return IniText({}, (problem,))
    problems = []
    # ConfigParser stops at the first duplicate: replace it and parse the text again.
    for _ in range(MAX_DUPLICATES):
        config = _make_parser()
        try:
            config.read_string("\n".join(lines), source)
            break
        except configparser.DuplicateSectionError as error:
            found = f"the section again at line {error.lineno}"
            problems.append(Problem(source, error.section, "", found, "once"))
            lines[error.lineno - 1] = f"[{_DUPLICATE_SECTION} {error.lineno}]"
        except configparser.DuplicateOptionError as error:
            found = f"the key again at line {error.lineno}"
            problems.append(Problem(source, error.section, error.option, found, "once"))
            lines[error.lineno - 1] = "#"
        except configparser.MissingSectionHeaderError as error:
            found = f"text before the first section at line {error.lineno}"
            problems.append(Problem(source, "", "", found, "INI text"))
            return IniText({}, tuple(problems))
        except configparser.ParsingError as error:
            problems.extend(_describe_malformed_lines(error, lines, source))
            return IniText({}, tuple(problems))
    else:
        found = f"more than {MAX_DUPLICATES} repeated sections or keys"
        problems.append(Problem(source, "", "", found, "each of them once"))
        return IniText({}, tuple(problems))
    sections = {
        title: dict(config[title])
        for title in config.sections()
        if not title.startswith(_DUPLICATE_SECTION)
    }
    return IniText(sections, tuple(problems))


def _make_parser():
    return configparser.ConfigParser(
        interpolation=None, empty_lines_in_values=False, default_section=""
    )


def _describe_malformed_lines(error, lines, source):
    allowed = "[section], key = value, or a comment after #"
    numbers = [number for number, _ in error.errors]
    return [
        Problem(source, "", "", f"line {number}: {shorten(lines[number - 1])}", allowed)
        for number in numbers
    ]


def shorten(found):
    """Return a text quoted for a message, at a bounded length.

    Parameters
    ----------
    found : str
        Text found in a file.

    Returns
    -------
    str
        The quoted text, cut if it is long.
    """
    if len(found) <= MAX_QUOTED_CHARACTERS:
        return repr(found)
    return repr(found[:MAX_QUOTED_CHARACTERS]) + "..."
