"""Read INI text from outside: bounded, UTF-8, with every mistake of form listed."""

import configparser

import attrs

from gentianlink.core.problem import Problem

MAX_FILE_BYTES = 4 << 20
MAX_LINES = 30_000
MAX_REPEATED_PLACES = 20
MAX_FOUND_CHARACTERS = 80
_REPEATED_SECTION = "repeated section at line"


@attrs.frozen
class IniText:
    """Sections of an INI text.

    Attributes
    ----------
    sections : dict of str to dict
        Values by section and key.
    problems : tuple of Problem
        Every mistake of form.
    """

    sections: dict[str, dict[str, str]]
    problems: tuple[Problem, ...] = ()


def read_text(path):
    """Read a file that people write.

    Parameters
    ----------
    path : pathlib.Path
        The file.

    Returns
    -------
    text : str
        The text, empty if it can't be read.
    problems : list of Problem
        Why it can't be read.
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
    """Parse INI text and list every mistake of form.

    Parameters
    ----------
    text : str
        The text.
    source : str
        Name of the file for messages.

    Returns
    -------
    IniText
        Sections and mistakes; a repeated section or key keeps its first place.
    """
    lines = text.splitlines()
    if len(lines) > MAX_LINES:
        found = f"{len(lines)} lines"
        problem = Problem(source, "", "", found, f"at most {MAX_LINES} lines")
        return IniText({}, (problem,))
    problems = []
    for _ in range(MAX_REPEATED_PLACES):
        config = _make_parser()
        try:
            config.read_string("\n".join(lines), source)
            break
        except configparser.DuplicateSectionError as error:
            found = f"the section again at line {error.lineno}"
            problems.append(Problem(source, error.section, "", found, "once"))
            lines[error.lineno - 1] = f"[{_REPEATED_SECTION} {error.lineno}]"
        except configparser.DuplicateOptionError as error:
            found = f"the key again at line {error.lineno}"
            problems.append(Problem(source, error.section, error.option, found, "once"))
            lines[error.lineno - 1] = "#"
        except configparser.MissingSectionHeaderError as error:
            found = f"text before the first section at line {error.lineno}"
            problems.append(Problem(source, "", "", found, "INI text"))
            return IniText({}, tuple(problems))
        except configparser.ParsingError as error:
            problems.extend(_describe_lines(error, lines, source))
            return IniText({}, tuple(problems))
    else:
        found = f"more than {MAX_REPEATED_PLACES} repeated sections or keys"
        problems.append(Problem(source, "", "", found, "each of them once"))
        return IniText({}, tuple(problems))
    sections = {
        title: dict(config[title])
        for title in config.sections()
        if not title.startswith(_REPEATED_SECTION)
    }
    return IniText(sections, tuple(problems))


def _make_parser():
    return configparser.ConfigParser(
        interpolation=None, empty_lines_in_values=False, default_section=""
    )


def _describe_lines(error, lines, source):
    allowed = "[section], key = value, or a comment after #"
    numbers = [number for number, _ in error.errors]
    return [
        Problem(source, "", "", f"line {number}: {shorten(lines[number - 1])}", allowed)
        for number in numbers
    ]


def shorten(found):
    """Return a text as messages show it, quoted and bounded.

    Parameters
    ----------
    found : str
        Text from outside.

    Returns
    -------
    str
        The quoted text, cut if it is long.
    """
    if len(found) <= MAX_FOUND_CHARACTERS:
        return repr(found)
    return repr(found[:MAX_FOUND_CHARACTERS]) + "..."
