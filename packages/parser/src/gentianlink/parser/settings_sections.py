"""Parse INI text whose sections are the fields of an attrs class."""

import attrs

from gentianlink.core.errors import SettingsInvalid
from gentianlink.core.problem import Problem
from gentianlink.core.setting_fields import ALLOWED, PARSE
from gentianlink.parser.ini_file import parse_ini, read_text, shorten


def parse_sections(text, source, data_type):
    """Parse INI text whose sections are the fields of an attrs class.

    Parameters
    ----------
    text : str
        INI text.
    source : str
        Name of the file for messages.
    data_type : type
        Attrs class; the type of each field is the attrs class of a section.

    Returns
    -------
    settings : object or None
        Instance of `data_type`, None if there is a mistake.
    problems : list of Problem
        Every mistake found.
    """
    ini = parse_ini(text, source)
    problems = list(ini.problems)
    if not ini.sections and problems:
        return None, problems
    problems.extend(_validate_section_names(ini.sections, source, data_type))
    sections = {}
    for field in attrs.fields(data_type):
        given = dict(ini.sections.get(field.name, {}))
        values, section_problems = _parse_section(given, field, source)
        problems.extend(section_problems)
        if not section_problems:
            sections[field.name] = field.type(**values)
    if problems:
        return None, problems
    return data_type(**sections), []


def _validate_section_names(sections, source, data_type):
    allowed = [field.name for field in attrs.fields(data_type)]
    found = "an unknown section"
    return [
        Problem(source, title, "", found, ", ".join(allowed))
        for title in sections
        if title not in allowed
    ]


def _parse_section(given, section, source):
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
            problem = Problem(source, section.name, field.name, shorten(found), allowed)
            problems.append(problem)
    names = ", ".join(field.name for field in attrs.fields(section.type))
    for key in given:
        problems.append(Problem(source, section.name, key, "an unknown key", names))
    return values, problems


def load_file(path, parse):
    """Read a file and parse its text.

    Parameters
    ----------
    path : pathlib.Path
        The file.
    parse : callable
        Takes the text and the name of the file; returns settings and problems.

    Returns
    -------
    object
        Checked settings.

    Raises
    ------
    SettingsInvalid
        If the file can't be read or has mistakes.
    """
    text, problems = read_text(path)
    if not problems:
        settings, problems = parse(text, str(path))
    if problems:
        raise SettingsInvalid(problems)
    return settings
