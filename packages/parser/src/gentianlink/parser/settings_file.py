"""Read a node's settings file and report every mistake in it at once."""

import configparser

import attrs

from gentianlink.core.errors import SettingsInvalid
from gentianlink.core.problem import Problem
from gentianlink.core.setting import ALLOWED, PARSE
from gentianlink.core.settings import Settings


def parse_settings(text, source):
    """Parse the text of a settings file.

    Parameters
    ----------
    text : str
        INI text.
    source : str
        Name of the file for messages.

    Returns
    -------
    settings : Settings or None
        The settings, None if there is a mistake.
    problems : list of Problem
        Every mistake found.
    """
    config = configparser.ConfigParser(interpolation=None, empty_lines_in_values=False)
    try:
        config.read_string(text, source)
    except configparser.Error as error:
        problem = Problem(source, "", "", str(error).replace("\n", " "), "INI text")
        return None, [problem]
    problems = _validate_section_names(config, source)
    sections = {}
    for field in attrs.fields(Settings):
        values, section_problems = _parse_section(config, field, source)
        problems.extend(section_problems)
        if not section_problems:
            sections[field.name] = field.type(**values)
    if problems:
        return None, problems
    return Settings(**sections), []


def _validate_section_names(config, source):
    allowed = [field.name for field in attrs.fields(Settings)]
    problems = []
    for name in config.sections():
        if name not in allowed:
            found = "an unknown section"
            problems.append(Problem(source, name, "", found, ", ".join(allowed)))
    return problems


def _parse_section(config, section, source):
    given = dict(config[section.name]) if config.has_section(section.name) else {}
    values = {}
    problems = []
    for field in attrs.fields(section.type):
        allowed = field.metadata[ALLOWED]
        found = given.pop(field.name, None)
        if found is None:
            if field.default is attrs.NOTHING:
                problem = Problem(source, section.name, field.name, "nothing", allowed)
                problems.append(problem)
            continue
        try:
            values[field.name] = field.metadata[PARSE](found)
        except ValueError:
            problem = Problem(source, section.name, field.name, repr(found), allowed)
            problems.append(problem)
    names = ", ".join(field.name for field in attrs.fields(section.type))
    for key in given:
        problems.append(Problem(source, section.name, key, "an unknown key", names))
    return values, problems


def load_settings(path):
    """Read and check a settings file.

    Parameters
    ----------
    path : pathlib.Path
        The file.

    Returns
    -------
    Settings
        Checked settings.

    Raises
    ------
    SettingsInvalid
        If the file can't be read or has mistakes.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        problem = Problem(str(path), "", "", type(error).__name__, "a readable file")
        raise SettingsInvalid([problem]) from error
    settings, problems = parse_settings(text, str(path))
    if problems:
        raise SettingsInvalid(problems)
    return settings
